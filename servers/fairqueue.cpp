#include "servers/fairqueue.h"

#include <algorithm>
#include <utility>

namespace citronspar
{

void FairQueue::push(Item item)
{
    Flow &flow = m_flows[item.account];
    const double start = std::max(m_virtualTime, flow.lastFinish);
    flow.lastFinish = start + static_cast<double>(item.tokens);
    m_queuedTokens += item.tokens;
    ++m_size;
    flow.items.emplace_back(start, std::move(item));
}

std::optional<FairQueue::Item> FairQueue::pop()
{
    auto next = m_flows.end();
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
        const bool hasItem = !it->second.items.empty();
        if (hasItem && (next == m_flows.end() || it->second.items.front().first < next->second.items.front().first)) {
            next = it;
        }
    }
    if (next == m_flows.end()) {
        return std::nullopt;
    }
    m_virtualTime = next->second.items.front().first;
    Item item = std::move(next->second.items.front().second);
    next->second.items.pop_front();
    m_queuedTokens -= item.tokens;
    --m_size;
    // An idle account accumulates no credit, and has no debt either once the virtual time has reached its finish time.
    if (next->second.items.empty() && next->second.lastFinish <= m_virtualTime) {
        m_flows.erase(next);
    }
    if (m_size == 0) {
        m_flows.clear();
        m_virtualTime = 0;
    }
    return item;
}

bool FairQueue::remove(AttemptId attempt)
{
    for (std::pair<const std::string, Flow> &entry : m_flows) {
        std::deque<std::pair<double, Item>> &items = entry.second.items;
        const auto found = std::find_if(items.begin(), items.end(), [attempt](const std::pair<double, Item> &queued) {
            return queued.second.attempt == attempt;
        });
        if (found != items.end()) {
            m_queuedTokens -= found->second.tokens;
            --m_size;
            items.erase(found);
            return true;
        }
    }
    return false;
}

std::int64_t FairQueue::queuedTokens() const
{
    return m_queuedTokens;
}

std::int64_t FairQueue::tokensAhead(const std::string &account) const
{
    const auto flow = m_flows.find(account);
    const double start = flow == m_flows.end() ? m_virtualTime : std::max(m_virtualTime, flow->second.lastFinish);
    std::int64_t tokens = 0;
    for (const std::pair<const std::string, Flow> &entry : m_flows) {
        for (const std::pair<double, Item> &item : entry.second.items) {
            if (item.first > start) {
                break;
            }
            tokens += item.second.tokens;
        }
    }
    return tokens;
}

std::size_t FairQueue::size() const
{
    return m_size;
}

}
