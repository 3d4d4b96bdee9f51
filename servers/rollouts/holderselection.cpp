#include "servers/rollouts/holderselection.h"

#include <utility>

namespace citronspar
{

namespace
{

// A daemon that did not answer is passed over for twice the time in which another one takes over (2.5 s), although the
// row still names it as the holder until then.
constexpr Duration silenceTime = std::chrono::seconds(5);

}

HolderSelection::HolderSelection(Selector selector)
    : m_selector(std::move(selector))
{
}

void HolderSelection::setTarget(const std::string &address)
{
    m_target = address;
    m_unansweredSince = timeNever;
}

std::string HolderSelection::target(const std::set<std::string> &candidates, TimePoint now)
{
    const bool isSilent = !m_target.empty() && m_unansweredSince != timeNever && now - m_unansweredSince >= answerTimeout;
    if (isSilent) {
        m_silentUntil[m_target] = now + silenceTime;
    }
    if (isSilent || candidates.count(m_target) == 0) {
        setTarget(std::string());
    }
    if (!m_target.empty() || candidates.empty()) {
        return m_target;
    }
    std::set<std::string> remaining = candidates;
    for (auto it = m_silentUntil.begin(); it != m_silentUntil.end();) {
        if (it->second <= now) {
            it = m_silentUntil.erase(it);
        } else {
            remaining.erase(it->first);
            ++it;
        }
    }
    if (remaining.empty()) {
        m_silentUntil.clear();
        remaining = candidates;
    }
    setTarget(m_selector(remaining));
    return m_target;
}

void HolderSelection::recordSent(TimePoint now)
{
    if (m_unansweredSince == timeNever) {
        m_unansweredSince = now;
    }
}

void HolderSelection::recordAnswer(const std::string &address)
{
    m_silentUntil.erase(address);
    if (address == m_target) {
        m_unansweredSince = timeNever;
    }
}

void HolderSelection::recordHolder(const std::string &address, TimePoint now)
{
    const auto silent = m_silentUntil.find(address);
    const bool isSilent = silent != m_silentUntil.end() && silent->second > now;
    if (!address.empty() && address != m_target && !isSilent) {
        setTarget(address);
    }
}

}
