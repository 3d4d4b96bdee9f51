#include "servers/load/pauseprediction.h"

#include <algorithm>
#include <limits>

namespace citronspar
{

namespace
{

constexpr double millisecondsPerSecond = 1000;

}

PausePrediction::PausePrediction(Settings settings)
    : m_settings(settings)
{
}

Duration PausePrediction::pause(std::int64_t tokens, const Load &load, const Objective &objective) const
{
    if (objective.gapTarget <= Duration::zero() || objective.tokensPerEvent <= 0 || load.prefillTokensPerMs <= 0) {
        return Duration::zero();
    }
    const std::int64_t tokensPerPause = std::min(tokens, objective.tokensPerEvent * m_settings.pieceTokens);
    return fromSeconds(static_cast<double>(tokensPerPause) / load.prefillTokensPerMs / millisecondsPerSecond);
}

Duration PausePrediction::causedPause(std::int64_t promptTokens, const Load &load, const Objective &objective) const
{
    return pause(load.waitingTokens + promptTokens, load, objective);
}

Duration PausePrediction::metPause(const Load &load, const Objective &objective) const
{
    return pause(load.waitingTokens, load, objective);
}

double PausePrediction::streamCostMs(Duration pause, const Objective &objective) const
{
    const double usable = toSeconds(objective.gapTarget) * m_settings.usableShare;
    const double excess = toSeconds(pause) - usable;
    if (excess <= 0) {
        return 0;
    }
    return m_settings.lateStreamCostMs + m_settings.excessCostMs * excess / toSeconds(objective.gapTarget);
}

double PausePrediction::costMs(std::int64_t promptTokens, const Load &load, const Objective &objective) const
{
    const double streams = static_cast<double>(std::min(load.runningStreams, m_settings.maxStreams));
    const double met = streamCostMs(metPause(load, objective), objective);
    const double caused = streamCostMs(causedPause(promptTokens, load, objective), objective);
    double result = streams * std::max(0.0, caused - m_settings.presentCostDiscount * met) + m_settings.newStreamWeight * met;
    if (m_settings.laterPromptWeight > 0) {
        const Duration longest = pause(std::numeric_limits<std::int64_t>::max(), load, objective);
        result += m_settings.laterPromptWeight * streamCostMs(longest, objective);
    }
    return result;
}

}
