#include "servers/endpointlimitholder.h"
#include "servers/endpointlimits.h"
#include "tests/fakes/eventscheduler.h"
#include "tests/fakes/seeds.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <vector>

using namespace citronspar;

namespace
{

const std::string endpointName = "engine@1";
constexpr Duration window = std::chrono::seconds(4);
constexpr Duration tellingTime = std::chrono::milliseconds(500);

/** Entry daemons that send requests to one endpoint with a limit, and the holders of the limit, in virtual time. */
class LimitSimulation
{
public:
    struct Daemon
    {
        EndpointLimits limits;
        TimePoint toldAt = timeNever;
        /** The holder that the daemon selects: the lists of endpoints differ for a moment. */
        std::size_t holder = 0;
        bool isHolderReachable = true;
        int incarnation = 0;
    };

    EventScheduler scheduler;
    double limit;
    std::vector<Daemon> daemons;
    std::vector<EndpointLimitHolder> holders;
    std::size_t mostInWindow = 0;
    int arrivals = 0;

    LimitSimulation(std::uint64_t seed, int daemonCount, double requestsPerSecond)
        : scheduler(seed)
        , limit(requestsPerSecond)
        , daemons(static_cast<std::size_t>(daemonCount))
        , holders(3)
    {
    }

    TimePoint now() const
    {
        return scheduler.now();
    }

    /** A daemon wants to send a request, and does so if the limit allows. */
    void request(std::size_t number, const std::string &account = "account")
    {
        Daemon &daemon = daemons[number];
        const EndpointLimit *known = daemon.limits.find(endpointName);
        if (known == nullptr) {
            arrive(number);
            return;
        }
        const int daemonCount = static_cast<int>(daemons.size());
        if (!daemon.isHolderReachable) {
            if (daemon.limits.tryConsumePart(endpointName, daemonCount, now())) {
                arrive(number);
            }
            return;
        }
        const EndpointLimit stated = *known;
        const std::size_t holder = daemon.holder;
        const int incarnation = daemon.incarnation;
        const bool isHolderNew = daemon.limits.recordHolder(endpointName, std::to_string(holder));
        scheduler.scheduleAfter(milliseconds(1, 4), [this, number, stated, holder, account, incarnation, isHolderNew]() {
            if (!holders[holder].reserve(endpointName, stated, account, isHolderNew, now()).isGranted) {
                return;
            }
            scheduler.scheduleAfter(milliseconds(1, 4), [this, number, incarnation]() {
                if (daemons[number].incarnation == incarnation) {
                    arrive(number);
                }
            });
        });
    }

    void restartDaemon(std::size_t number)
    {
        Daemon &daemon = daemons[number];
        daemon.limits = EndpointLimits();
        daemon.toldAt = timeNever;
        ++daemon.incarnation;
    }

    /** The daemons select another holder, each at a time of its own. */
    void changeHolder()
    {
        m_currentHolder = static_cast<std::size_t>(scheduler.randomInteger(0, static_cast<std::int64_t>(holders.size()) - 1));
        for (std::size_t i = 0; i < daemons.size(); ++i) {
            scheduler.scheduleAfter(milliseconds(0, 800), [this, i]() {
                daemons[i].holder = m_currentHolder;
            });
        }
    }

    void restartHolder(std::size_t number)
    {
        holders[number] = EndpointLimitHolder();
    }

    std::size_t allowed() const
    {
        return static_cast<std::size_t>(1.5 * limit * toSeconds(window) + 5);
    }

private:
    std::deque<TimePoint> m_counted;
    std::size_t m_currentHolder = 0;

    Duration milliseconds(std::int64_t low, std::int64_t high)
    {
        return std::chrono::milliseconds(scheduler.randomInteger(low, high));
    }

    void arrive(std::size_t number)
    {
        ++arrivals;
        Daemon &daemon = daemons[number];
        if (daemon.toldAt != timeNever && now() - daemon.toldAt >= tellingTime) {
            m_counted.push_back(now());
            while (now() - m_counted.front() > window) {
                m_counted.pop_front();
            }
            mostInWindow = std::max(mostInWindow, m_counted.size());
        }
        const int incarnation = daemon.incarnation;
        scheduler.scheduleAfter(milliseconds(5, 400), [this, number, incarnation]() {
            Daemon &answered = daemons[number];
            if (answered.incarnation == incarnation) {
                answered.limits.recordStatement(endpointName, limit, now());
                answered.toldAt = answered.toldAt == timeNever ? now() : answered.toldAt;
            }
        });
    }
};

}

TEST_CASE("[EndpointLimitHolder] All daemons together keep to an endpoint's limit, under injected faults")
{
    const int daemonCount = GENERATE(1, 3, 33);
    const double limit = GENERATE(0.25, 1.0, 1.3, 40.0);
    const std::uint64_t failingSeed = findFailingSeed(Seeds(20), [&](std::uint64_t seed) {
        LimitSimulation fleet(seed, daemonCount, limit);
        const std::int64_t lastDaemon = daemonCount - 1;
        for (int step = 0; step < 1500; ++step) {
            fleet.scheduler.runFor(std::chrono::milliseconds(20));
            const double wanted = 3 * limit * 0.02 + 0.05;
            const int whole = static_cast<int>(wanted);
            const int requests = whole + (fleet.scheduler.randomBool(wanted - whole) ? 1 : 0);
            for (int i = 0; i < requests; ++i) {
                fleet.request(static_cast<std::size_t>(fleet.scheduler.randomInteger(0, lastDaemon)));
            }
            if (fleet.scheduler.randomBool(0.004)) {
                // Requests at all daemons in the same millisecond.
                for (std::size_t i = 0; i < fleet.daemons.size(); ++i) {
                    fleet.request(i);
                }
            }
            if (seed % 4 == 0) {
                continue;
            }
            if (fleet.scheduler.randomBool(0.002)) {
                fleet.changeHolder();
            }
            if (fleet.scheduler.randomBool(0.002)) {
                fleet.restartHolder(static_cast<std::size_t>(fleet.scheduler.randomInteger(0, 2)));
            }
            if (fleet.scheduler.randomBool(0.002)) {
                fleet.restartDaemon(static_cast<std::size_t>(fleet.scheduler.randomInteger(0, lastDaemon)));
            }
            if (fleet.scheduler.randomBool(0.01)) {
                LimitSimulation::Daemon &daemon = fleet.daemons[static_cast<std::size_t>(fleet.scheduler.randomInteger(0, lastDaemon))];
                daemon.isHolderReachable = !daemon.isHolderReachable;
            }
        }
        return fleet.mostInWindow <= fleet.allowed();
    });
    INFO("daemons " << daemonCount << ", limit " << limit);
    CHECK(failingSeed == 0);
}

TEST_CASE("[EndpointLimitHolder] The limit is used, and follows the latest statement up and down")
{
    EndpointLimitHolder holder;
    TimePoint now{std::chrono::seconds(1000)};
    const auto grantsInSeconds = [&](double limit, int seconds) {
        const EndpointLimit stated{limit, now};
        int granted = 0;
        for (int i = 0; i < seconds * 100; ++i) {
            now += std::chrono::milliseconds(10);
            granted += holder.reserve(endpointName, stated, "account", false, now).isGranted ? 1 : 0;
        }
        return granted;
    };
    // A new holder waits for the previous one first.
    grantsInSeconds(10, 2);
    CHECK(grantsInSeconds(10, 10) >= 95);
    CHECK(grantsInSeconds(1, 10) <= 15);
    CHECK(grantsInSeconds(20, 10) >= 190);
    // A daemon that has heard nothing since still states the old limit.
    const EndpointLimit old{500, now - std::chrono::seconds(60)};
    int granted = 0;
    for (int i = 0; i < 1000; ++i) {
        now += std::chrono::milliseconds(10);
        granted += holder.reserve(endpointName, old, "account", false, now).isGranted ? 1 : 0;
    }
    CHECK(granted <= 210);
}

TEST_CASE("[EndpointLimitHolder] A refused request is granted after the returned delay")
{
    EndpointLimitHolder holder;
    const TimePoint now{std::chrono::seconds(1000)};
    const EndpointLimit limit{2, now};
    const EndpointLimitHolder::Answer refused = holder.reserve(endpointName, limit, "account", false, now);
    REQUIRE_FALSE(refused.isGranted);
    CHECK(holder.reserve(endpointName, limit, "account", false, now + refused.retryAfter + std::chrono::milliseconds(1)).isGranted);
}

TEST_CASE("[EndpointLimitHolder] A small account beside one at five times its rate gets at least a quarter of the limit")
{
    EndpointLimitHolder holder;
    TimePoint now{std::chrono::seconds(1000)};
    const EndpointLimit limit{2, now};
    int small = 0;
    int large = 0;
    for (int i = 0; i < 6000; ++i) {
        now += std::chrono::milliseconds(20);
        large += i % 5 == 0 && holder.reserve(endpointName, limit, "large", false, now).isGranted ? 1 : 0;
        small += i % 25 == 12 && holder.reserve(endpointName, limit, "small", false, now).isGranted ? 1 : 0;
    }
    CHECK(small * 4 >= small + large);
    CHECK(small + large >= 200);
}

TEST_CASE("[EndpointLimits] A limit is in force until a response states none, and ends with its start of the endpoint")
{
    EndpointLimits limits;
    const TimePoint now{std::chrono::seconds(1000)};
    CHECK(limits.find(endpointName) == nullptr);
    CHECK(limits.tryConsumePart(endpointName, 3, now));
    limits.recordStatement(endpointName, 4.0, now);
    REQUIRE(limits.find(endpointName) != nullptr);
    CHECK(limits.find(endpointName)->requestsPerSecond == 4.0);
    CHECK(limits.find("engine@2") == nullptr);
    // Zero is raised, as a daemon that sends nothing could not learn that the limit is lifted.
    limits.recordStatement(endpointName, 0.0, now);
    CHECK(limits.find(endpointName)->requestsPerSecond > 0);
    limits.recordStatement(endpointName, std::nullopt, now);
    CHECK(limits.find(endpointName) == nullptr);
}
