#pragma once

#include "core/time.h"

#include <cstdint>

namespace citronspar
{

/**
 * Predicts the pauses between the events of streams that the prefill of
 * prompts causes, and what they cost. An engine prefills prompts in pieces
 * interleaved with the tokens it generates, so each event of a stream waits for
 * at most as many pieces as the event has tokens. Long prompts at slow engines
 * make pauses longer than the objective of the streams running there.
 */
class PausePrediction
{
public:
    struct Settings
    {
        /** Prompt tokens that an engine prefills between two generated tokens; engines use 2,048 or 4,096. */
        std::int64_t pieceTokens = 2048;
        /** Share of the objective from which a predicted pause counts as too long; the rest is for generation and unreported prompts. */
        double usableShare = 0.8;
        /** Cost in milliseconds of each running stream that would be late, half the time of a piece at a common rate. */
        double lateStreamCostMs = 20;
        /** Cost in milliseconds of each running stream per objective's length of excess. */
        double excessCostMs = 40;
        /** Factor of the cost for a new stream that would meet the pause of the prompts waiting now. */
        double newStreamWeight = 1;
        /** Factor of the cost for a new stream that would meet too long a pause if a long prompt arrived later. */
        double laterPromptWeight = 0;
        /** Share of the cost that also arises without the prompt and does not count. */
        double presentCostDiscount = 0;
        /** Number of running streams beyond which the cost does not grow, as their number is some hundred milliseconds old. */
        std::int64_t maxStreams = 32;
    };

    /** What is known about an engine when a prompt is to be placed. */
    struct Load
    {
        /** Prompt tokens that wait at the engine. */
        std::int64_t waitingTokens = 0;
        /** Streams that generate tokens there. */
        std::int64_t runningStreams = 0;
        double prefillTokensPerMs = 0;
    };

    /** What streams need. */
    struct Objective
    {
        /** The longest pause with which a stream is on time; zero turns predictions off. */
        Duration gapTarget = Duration::zero();
        /** Generated tokens that one event carries; zero turns predictions off. */
        int tokensPerEvent = 0;
    };

private:
    Settings m_settings;

    /** The cost in milliseconds of one stream with such a pause. */
    double streamCostMs(Duration pause, const Objective &objective) const;

public:
    explicit PausePrediction(Settings settings);

    /** The longest pause between two events while an engine with the rate of @p load prefills @p tokens. */
    Duration pause(std::int64_t tokens, const Load &load, const Objective &objective) const;

    /** The pause that the prefill of a prompt of @p promptTokens causes to the streams running at the engine. */
    Duration causedPause(std::int64_t promptTokens, const Load &load, const Objective &objective) const;

    /** The pause that a new stream meets because of the prompts waiting at the engine. */
    Duration metPause(const Load &load, const Objective &objective) const;

    /** The cost in milliseconds of placing a stream with a prompt of @p promptTokens on the engine. */
    double costMs(std::int64_t promptTokens, const Load &load, const Objective &objective) const;
};

}
