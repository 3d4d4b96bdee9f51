#include "servers/load/prefillrate.h"

#include <algorithm>
#include <cmath>

namespace citronspar
{

namespace
{

constexpr double millisecondsPerSecond = 1000;

}

PrefillRate::PrefillRate(Settings settings)
    : m_settings(settings)
{
}

void PrefillRate::beginSegment(TimePoint now, bool beginsIdle)
{
    m_segmentStart = now;
    m_segmentTokens = 0;
    m_beginsIdle = beginsIdle;
    m_isSegmentInvalid = false;
}

void PrefillRate::addSegment(double tokens, double milliseconds, bool beginsIdle)
{
    const double decay = std::exp2(-milliseconds / (toSeconds(m_settings.halfLife) * millisecondsPerSecond));
    for (double *sum : {&m_sums.idle, &m_sums.idleTokens, &m_sums.tokensSquared, &m_sums.idleTime, &m_sums.tokensTime, &m_sums.evidence}) {
        *sum *= decay;
    }
    // The variance of the time grows with the tokens; with these weights the fit to continuous load is total tokens by total time.
    const double weight = 1 / std::max(tokens, m_settings.minSegmentTokens);
    m_sums.tokensSquared += weight * tokens * tokens;
    m_sums.tokensTime += weight * tokens * milliseconds;
    if (beginsIdle) {
        m_sums.idle += weight;
        m_sums.idleTokens += weight * tokens;
        m_sums.idleTime += weight * milliseconds;
    }
    if (tokens >= m_settings.minSegmentTokens) {
        m_sums.evidence += tokens;
    }
}

void PrefillRate::recordSent(TimePoint now)
{
    if (m_waitingPrompts == 0) {
        beginSegment(now, true);
    }
    ++m_waitingPrompts;
}

void PrefillRate::recordPrefilled(std::int64_t tokens, TimePoint now)
{
    if (m_waitingPrompts == 0) {
        return;
    }
    --m_waitingPrompts;
    if (m_isSegmentInvalid) {
        beginSegment(now, false);
        return;
    }
    m_segmentTokens += static_cast<double>(tokens);
    const Duration length = now - m_segmentStart;
    if (length <= Duration::zero() || (m_waitingPrompts > 0 && length < m_settings.segmentLength)) {
        return;
    }
    if (m_lastPrefill != timeNever && now - m_lastPrefill > m_settings.idleLifetime) {
        m_sums = Sums();
    }
    m_lastPrefill = now;
    addSegment(m_segmentTokens, toSeconds(length) * millisecondsPerSecond, m_beginsIdle);
    beginSegment(now, false);
}

void PrefillRate::recordDropped()
{
    m_waitingPrompts = std::max<std::int64_t>(0, m_waitingPrompts - 1);
    m_isSegmentInvalid = true;
}

void PrefillRate::discard()
{
    m_sums = Sums();
    m_lastPrefill = timeNever;
    m_isSegmentInvalid = true;
}

void PrefillRate::clear()
{
    discard();
    m_waitingPrompts = 0;
}

double PrefillRate::tokensPerMs(TimePoint now) const
{
    if (m_sums.evidence < m_settings.minTokens || now - m_lastPrefill > m_settings.idleLifetime) {
        return 0;
    }
    const double prior = m_settings.delayPriorSegments / m_settings.delayPriorTokens;
    const double idle = m_sums.idle + prior;
    const double idleTime = m_sums.idleTime + prior * m_settings.expectedDelayMs;
    const double determinant = idle * m_sums.tokensSquared - m_sums.idleTokens * m_sums.idleTokens;
    const double fittedDelay
        = determinant > 0 ? (m_sums.tokensSquared * idleTime - m_sums.idleTokens * m_sums.tokensTime) / determinant : 0;
    const double delay = std::clamp(fittedDelay, 0.0, m_settings.maxDelayMs);
    const double msPerToken = (m_sums.tokensTime - m_sums.idleTokens * delay) / m_sums.tokensSquared;
    if (msPerToken <= 1 / m_settings.maxTokensPerMs) {
        return m_settings.maxTokensPerMs;
    }
    return std::max(1 / msPerToken, m_settings.minTokensPerMs);
}

}
