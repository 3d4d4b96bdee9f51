#include "servers/endpointsignals.h"

#include "tests/fakes/eventscheduler.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const TimePoint start{std::chrono::hours(1)};

}

TEST_CASE("[EndpointSignals] A start that leaves is out for good, and the next start of the endpoint is not")
{
    EndpointSignals endpoints("entry-1");
    CHECK(endpoints.isAvailable("i-1@5", start));
    CHECK(endpoints.recordLeaving("i-1@5", start));
    CHECK_FALSE(endpoints.recordLeaving("i-1@5", start));
    CHECK_FALSE(endpoints.isAvailable("i-1@5", start + std::chrono::minutes(20)));
    CHECK(endpoints.isAvailable("i-1@6", start));
    CHECK(endpoints.remainingWait("i-1@5", start) == std::nullopt);
}

TEST_CASE("[EndpointSignals] The longer of two waits holds, and a wait is bounded")
{
    EndpointSignals endpoints("entry-1");
    endpoints.recordWait("i-1@5", std::chrono::seconds(4), start);
    endpoints.recordWait("i-1@5", std::chrono::seconds(1), start + std::chrono::seconds(1));
    CHECK_FALSE(endpoints.isAvailable("i-1@5", start + std::chrono::milliseconds(3999)));
    CHECK(endpoints.remainingWait("i-1@5", start + std::chrono::seconds(1)).value() >= std::chrono::seconds(3));
    CHECK(endpoints.isAvailable("i-1@5", start + std::chrono::milliseconds(4600)));
    endpoints.recordWait("i-2@5", std::chrono::hours(100), start);
    CHECK_FALSE(endpoints.isAvailable("i-2@5", start + EndpointSignals::maxWait - std::chrono::seconds(1)));
    CHECK(endpoints.isAvailable("i-2@5", start + EndpointSignals::maxWait + std::chrono::seconds(1)));
    endpoints.recordWait("i-3@5", Duration::zero(), start);
    CHECK(endpoints.isAvailable("i-3@5", start));
}

TEST_CASE("[EndpointSignals] Daemons return to an endpoint one after the other")
{
    std::set<std::int64_t> returns;
    for (int i = 0; i < 33; ++i) {
        EndpointSignals endpoints("entry-" + std::to_string(i));
        endpoints.recordWait("i-1@5", std::chrono::seconds(2), start);
        const Duration wait = endpoints.remainingWait("i-1@5", start).value();
        CHECK(wait >= std::chrono::seconds(2));
        CHECK(wait <= std::chrono::milliseconds(2500));
        returns.insert(std::chrono::duration_cast<std::chrono::milliseconds>(wait).count());
    }
    CHECK(returns.size() >= 25);
}

TEST_CASE("[EndpointSignals] Among answers of all kinds and starts, no request is sent to an endpoint that leaves or wants none")
{
    const int daemonCount = GENERATE(3, 33);
    const std::uint64_t failingSeed = findFailingSeed(Seeds(40), [&](std::uint64_t seed) {
        struct Endpoint
        {
            int starts = 1;
            bool isLeaving = false;
            TimePoint waitUntil = timeNever;
        };
        /** The signals in the answers that one daemon has received. */
        struct Told
        {
            bool isLeaving = false;
            TimePoint waitUntil = timeNever;
        };
        EventScheduler scheduler(seed);
        std::vector<Endpoint> endpoints(6);
        std::vector<EndpointSignals> daemons;
        std::vector<std::map<std::string, Told>> told(static_cast<std::size_t>(daemonCount));
        for (int i = 0; i < daemonCount; ++i) {
            daemons.emplace_back("entry-" + std::to_string(i));
        }
        bool isKept = true;
        int served = 0;
        for (int step = 0; step < 20000; ++step) {
            const std::size_t number = static_cast<std::size_t>(scheduler.randomInteger(0, 5));
            const std::size_t daemon = static_cast<std::size_t>(scheduler.randomInteger(0, daemonCount - 1));
            Endpoint &endpoint = endpoints[number];
            if (scheduler.randomBool(0.002)) {
                endpoint.isLeaving = true;
            } else if (scheduler.randomBool(0.002)) {
                endpoint = Endpoint{endpoint.starts + 1, false, timeNever};
            } else if (scheduler.randomBool(0.005)) {
                endpoint.waitUntil = scheduler.now() + std::chrono::milliseconds(scheduler.randomInteger(0, 3000));
            } else if (scheduler.randomBool(0.001)) {
                daemons[daemon] = EndpointSignals("entry-" + std::to_string(daemon));
                told[daemon].clear();
            }
            const std::string name = "i-" + std::to_string(number) + "@" + std::to_string(endpoint.starts);
            if (daemons[daemon].isAvailable(name, scheduler.now())) {
                const Told &known = told[daemon][name];
                isKept = isKept && !known.isLeaving && scheduler.now() >= known.waitUntil;
                ++served;
                if (endpoint.isLeaving) {
                    daemons[daemon].recordLeaving(name, scheduler.now());
                    told[daemon][name].isLeaving = true;
                }
                if (scheduler.now() < endpoint.waitUntil) {
                    daemons[daemon].recordWait(name, endpoint.waitUntil - scheduler.now(), scheduler.now());
                    told[daemon][name].waitUntil = endpoint.waitUntil;
                }
            }
            scheduler.runFor(std::chrono::milliseconds(2));
        }
        return isKept && served > 2000;
    });
    INFO("daemons " << daemonCount);
    CHECK(failingSeed == 0);
}
