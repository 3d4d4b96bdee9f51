#include "servers/streamassembler.h"

namespace citronspar
{

StreamAssembler::StreamAssembler(std::size_t maxOutOfOrder)
    : m_maxOutOfOrder(maxOutOfOrder)
{
}

void StreamAssembler::beginAttempt(AttemptId attempt)
{
    if (m_state == State::Complete) {
        return;
    }
    m_attempt = attempt;
    m_outOfOrder.clear();
    m_endCount = -1;
    m_state = State::Open;
}

std::vector<std::string> StreamAssembler::takeContiguous()
{
    std::vector<std::string> contiguous;
    while (!m_outOfOrder.empty() && m_outOfOrder.begin()->first == m_nextIndex) {
        contiguous.push_back(m_outOfOrder.begin()->second);
        m_outOfOrder.erase(m_outOfOrder.begin());
        ++m_nextIndex;
    }
    if (m_endCount >= 0 && m_nextIndex == m_endCount) {
        m_state = State::Complete;
    }
    return contiguous;
}

std::vector<std::string> StreamAssembler::add(AttemptId attempt, std::int64_t index, const std::string &data)
{
    if (m_state != State::Open || attempt != m_attempt || index < m_nextIndex) {
        return {};
    }
    m_outOfOrder.emplace(index, data);
    std::vector<std::string> contiguous = takeContiguous();
    if (m_state == State::Open && m_outOfOrder.size() > m_maxOutOfOrder) {
        m_state = State::Broken;
    }
    return contiguous;
}

void StreamAssembler::end(AttemptId attempt, std::int64_t count)
{
    if (m_state != State::Open || attempt != m_attempt) {
        return;
    }
    if (count < m_nextIndex) {
        m_state = State::Broken;
        return;
    }
    m_endCount = count;
    if (m_nextIndex == count) {
        m_state = State::Complete;
    }
}

void StreamAssembler::fail(AttemptId attempt)
{
    if (m_state == State::Open && attempt == m_attempt) {
        m_state = State::Broken;
    }
}

StreamAssembler::State StreamAssembler::state() const
{
    return m_state;
}

std::int64_t StreamAssembler::nextIndex() const
{
    return m_nextIndex;
}

}
