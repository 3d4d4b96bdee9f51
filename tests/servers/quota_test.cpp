#include "servers/quotagate.h"
#include "servers/quotaholder.h"

#include <catch2/catch.hpp>

#include <deque>
#include <random>
#include <vector>

using namespace citronspar;

namespace
{

constexpr QuotaTolerance tolerance{0.1, 110000, std::chrono::seconds(8)};
constexpr Duration window = std::chrono::seconds(8);
const TimePoint start{std::chrono::seconds(100)};

TrafficAccount account(double rate)
{
    TrafficAccount result;
    result.name = "account";
    result.countsTokens = true;
    result.ratePerSecond = rate;
    result.burst = rate;
    return result;
}

/** The most tokens that ran in any window, of those admitted in time order. */
class WindowMost
{
private:
    std::deque<std::pair<TimePoint, double>> m_admitted;
    double m_sum = 0;

public:
    double most = 0;

    void add(TimePoint now, double cost)
    {
        m_admitted.emplace_back(now, cost);
        m_sum += cost;
        while (now - m_admitted.front().first >= window) {
            m_sum -= m_admitted.front().second;
            m_admitted.pop_front();
        }
        most = std::max(most, m_sum);
    }
};

}

TEST_CASE("[QuotaHolder] No seed of faults lets an account run beyond its rate, burst and tolerance")
{
    // Load: one account sends several times its rate through five daemons, while
    // holders restart, change and are cut off.
    for (unsigned int seed = 1; seed <= 300; ++seed) {
        std::mt19937 random(seed);
        const TrafficAccount hot = account(std::uniform_real_distribution<double>(29000, 190000)(random));
        const double allowed = (hot.ratePerSecond * toSeconds(window) + hot.burst) * (1 + tolerance.overshoot) + tolerance.slack;
        std::vector<QuotaGate> gates(5, QuotaGate(tolerance));
        for (QuotaGate &gate : gates) {
            gate.setDaemons(5);
        }
        QuotaHolder holder(tolerance);
        QuotaHolder otherHolder(tolerance);
        std::lognormal_distribution<double> cost(9.0, 0.6);
        std::uniform_real_distribution<double> chance(0, 1);
        WindowMost used;
        TimePoint cutUntil = start;
        for (TimePoint now = start; now < start + std::chrono::seconds(40); now += std::chrono::milliseconds(15)) {
            if (chance(random) < 0.001) {
                holder = QuotaHolder(tolerance);
            }
            if (chance(random) < 0.001) {
                // The list of endpoints has changed, and another daemon holds the account.
                std::swap(holder, otherHolder);
            }
            if (chance(random) < 0.002) {
                cutUntil = now + std::chrono::seconds(3);
            }
            const double tokens = std::min(cost(random), 42000.0);
            QuotaGate &gate = gates[random() % gates.size()];
            bool isTaken = gate.take(hot, tokens, now);
            if (!isTaken) {
                isTaken = now < cutUntil ? gate.takeOverdrawn(hot, tokens, now) : holder.reserve(hot, tokens, now).isGranted;
            }
            if (isTaken) {
                used.add(now, tokens);
            }
        }
        INFO("seed " << seed);
        CHECK(used.most <= allowed);
    }
}

TEST_CASE("[QuotaHolder] An account inside its rate is not refused, however its requests fall on the daemons")
{
    // Load: requests that are large beside the rate, nearly all at one daemon.
    int refused = 0;
    int asked = 0;
    for (unsigned int seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        const TrafficAccount small = account(29000);
        std::vector<QuotaGate> gates(5, QuotaGate(tolerance));
        QuotaHolder holder(tolerance);
        for (TimePoint now = start; now < start + std::chrono::seconds(30); now += std::chrono::milliseconds(600)) {
            QuotaGate &gate = gates[random() % 10 == 0 ? 1 : 0];
            const double tokens = 6000 + static_cast<double>(random() % 6000);
            ++asked;
            if (!gate.take(small, tokens, now) && !holder.reserve(small, tokens, now).isGranted) {
                ++refused;
            }
        }
    }
    CHECK(refused * 100 <= asked);
}

TEST_CASE("[QuotaHolder] A refused request learns when to come back")
{
    QuotaHolder holder(tolerance);
    const TrafficAccount small = account(10000);
    REQUIRE(holder.reserve(small, 40000, start).isGranted);
    const QuotaHolder::Answer refused = holder.reserve(small, 1000, start);
    REQUIRE_FALSE(refused.isGranted);
    CHECK(holder.reserve(small, 1000, start + refused.wait + std::chrono::milliseconds(1)).isGranted);
}

TEST_CASE("[QuotaGate] Accounts without a rate are not limited, and costs follow the account's unit")
{
    QuotaGate gate(tolerance);
    CHECK(gate.take(account(0), 1e9, start));
    TrafficAccount byRequests = account(5);
    byRequests.countsTokens = false;
    CHECK(quotaCost(byRequests, true, 9000) == 1);
    TrafficAccount byTokens = account(5);
    byTokens.plainTokens = 200;
    CHECK(quotaCost(byTokens, true, 9000) == 9000);
    CHECK(quotaCost(byTokens, false, 0) == 200);
}

TEST_CASE("[QuotaHolder] An account that comes to a holder from another one finds it nearly empty")
{
    QuotaHolder holder(tolerance);
    const TrafficAccount large = account(280000);
    double granted = 0;
    while (holder.reserve(large, 9000, start).isGranted) {
        granted += 9000;
    }
    CHECK(granted <= 0.25 * tolerance.slack);
}
