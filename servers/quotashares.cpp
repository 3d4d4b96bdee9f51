#include "servers/quotashares.h"

#include "servers/quotagate.h"

#include <algorithm>

namespace citronspar
{

namespace
{

// A daemon that was not heard of for this long has left; until then its basic share is kept free.
constexpr Duration daemonMemory = std::chrono::seconds(30);

}

void QuotaShares::noteDaemon(const std::string &daemon, TimePoint now)
{
    m_daemons[daemon] = now;
}

int QuotaShares::daemonCount(TimePoint now)
{
    for (auto it = m_daemons.begin(); it != m_daemons.end();) {
        it = now - it->second > daemonMemory ? m_daemons.erase(it) : std::next(it);
    }
    return static_cast<int>(m_daemons.size());
}

double QuotaShares::report(const std::string &daemon, const std::string &account, double perSecond, TimePoint now)
{
    constexpr double grantedPart = 1 - QuotaGate::evenPart;
    Account &state = m_accounts[account];
    if (state.firstHeard == timeNever) {
        state.firstHeard = now;
    }
    DaemonDemand &own = state.daemons[daemon];
    own.perSecond = perSecond;
    double total = 0;
    double granted = 0;
    for (auto it = state.daemons.begin(); it != state.daemons.end();) {
        const bool isOwn = it->first == daemon;
        if (!isOwn && now - it->second.toldAt > QuotaGate::leaseTime) {
            it = state.daemons.erase(it);
            continue;
        }
        total += it->second.perSecond;
        granted += isOwn ? 0 : it->second.share;
        ++it;
    }
    own.toldAt = now;
    if (now - state.firstHeard < QuotaGate::leaseTime) {
        own.share = 0;
        return 0;
    }
    // What the others hold until their leases end is not given twice.
    const double wanted = total > 0 ? grantedPart * perSecond / total : 0;
    own.share = std::clamp(wanted, 0.0, std::max(0.0, grantedPart - granted));
    return own.share;
}

}
