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
    auto best = m_flows.end();
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
        const bool hasItem = !it->second.items.empty();
        if (hasItem && (best == m_flows.end() || it->second.items.front().first < best->second.items.front().first)) {
            best = it;
        }
    }
    if (best == m_flows.end()) {
        return std::nullopt;
    }
    m_virtualTime = best->second.items.front().first;
    Item item = std::move(best->second.items.front().second);
    best->second.items.pop_front();
    m_queuedTokens -= item.tokens;
    --m_size;
    // An idle account keeps no credit and no debt.
    if (best->second.items.empty() && best->second.lastFinish <= m_virtualTime) {
        m_flows.erase(best);
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
        const auto found = std::find_if(items.begin(), items.end(), [attempt](const std::pair<double, Item> &item) {
            return item.second.attempt == attempt;
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
    const auto own = m_flows.find(account);
    const double start = own == m_flows.end() ? m_virtualTime : std::max(m_virtualTime, own->second.lastFinish);
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
