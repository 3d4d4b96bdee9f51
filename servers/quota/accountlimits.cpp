#include "servers/quota/accountlimits.h"

#include <iterator>

namespace citronspar
{

std::optional<TrafficAccount> AccountLimits::resolve(const std::string &name, const TrafficAccount *own, std::int64_t ownVersion,
                                                     const StatedLimit &stated)
{
    auto newer = m_newer.find(name);
    if (stated.version > ownVersion && (newer == m_newer.end() || stated.version > newer->second.version)) {
        newer = m_newer.insert_or_assign(name, stated).first;
    }
    if (newer != m_newer.end() && newer->second.version <= ownVersion) {
        m_newer.erase(newer);
        newer = m_newer.end();
    }
    if (newer == m_newer.end()) {
        return own == nullptr ? std::nullopt : std::optional<TrafficAccount>(*own);
    }
    TrafficAccount account = own == nullptr ? TrafficAccount() : *own;
    account.name = name;
    account.ratePerSecond = newer->second.ratePerSecond;
    account.burst = newer->second.burst;
    return account;
}

void AccountLimits::discardUpTo(std::int64_t ownVersion)
{
    for (auto it = m_newer.begin(); it != m_newer.end();) {
        it = it->second.version <= ownVersion ? m_newer.erase(it) : std::next(it);
    }
}

std::size_t AccountLimits::newerCount() const
{
    return m_newer.size();
}

}
