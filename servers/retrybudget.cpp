#include "servers/retrybudget.h"

#include <algorithm>

namespace citronspar
{

RetryBudget::RetryBudget(double tokensPerRequest, double maximum)
    : m_tokensPerRequest(tokensPerRequest)
    , m_maximum(maximum)
    , m_tokens(maximum)
{
}

void RetryBudget::setMaximum(double maximum)
{
    m_maximum = maximum;
    m_tokens = std::min(m_tokens, m_maximum);
}

void RetryBudget::addRequest()
{
    m_tokens = std::min(m_maximum, m_tokens + m_tokensPerRequest);
}

bool RetryBudget::tryConsumeRetry()
{
    if (m_tokens < 1) {
        return false;
    }
    m_tokens -= 1;
    return true;
}

}
