#pragma once

#include "core/time.h"

#include <cstdint>

namespace citronspar
{

/**
 * Learns how many prompt tokens an engine prefills per millisecond from the
 * times at which prompts are sent to it and at which their first events are
 * seen. Engines of one service differ in speed by a factor of two and more;
 * placement that assumes one rate for all overloads the slow ones.
 *
 * Only the time in which prompts wait is observed. It is cut into segments of
 * busy time, each with the tokens whose prefill ended in it. The rate follows
 * from a weighted least-squares fit of "time = delay * begins idle + tokens /
 * rate": the delay from the end of a prefill to its report (generation of the
 * first event, relay, message) lengthens only segments that begin with an idle
 * engine, as within continuous load it is the same at both ends.
 */
class PrefillRate
{
public:
    struct Settings
    {
        /** Busy time after which an observation counts half. A change of speed shows within about twice this time. */
        Duration halfLife = std::chrono::seconds(2);
        /** Continuous busy time is cut at the first end of a prefill after this time; several prompts of common sizes fit in. */
        Duration segmentLength = std::chrono::milliseconds(200);
        /** The rate is unknown after this long without a prefilled prompt, as the engine's load has changed since. */
        Duration idleLifetime = std::chrono::seconds(30);
        /** Tokens that must have been observed, with their present weight, for the rate to be known: two long prompts. */
        double minTokens = 6000;
        /** Segments with fewer tokens are no evidence of the rate, as the delay dominates their time. */
        double minSegmentTokens = 1000;
        /** The expected delay until the end of a prefill is reported: a few generated tokens and 3 ms of messages. */
        double expectedDelayMs = 15;
        /** Longest plausible delay: the median time to first event of short streams is 52 ms. */
        double maxDelayMs = 50;
        /** Weight of the expected delay, as the number of observed segments of delayPriorTokens tokens. */
        double delayPriorSegments = 2;
        double delayPriorTokens = 2048;
        /** Rates outside these limits, in tokens per millisecond, are implausible and clamped. */
        double minTokensPerMs = 4;
        double maxTokensPerMs = 400;
    };

private:
    Settings m_settings;
    std::int64_t m_waitingPrompts = 0;
    TimePoint m_segmentStart{};
    double m_segmentTokens = 0;
    bool m_beginsIdle = false;
    /** Whether the segment contains time that says nothing about the rate, as a prompt ended without being prefilled. */
    bool m_isSegmentInvalid = false;
    TimePoint m_lastPrefill = timeNever;

    /** Decayed sums of the weighted least-squares fit; "idle" is 1 for segments that begin with an idle engine, else 0. */
    struct Sums
    {
        double idle = 0;
        double idleTokens = 0;
        double tokensSquared = 0;
        double idleTime = 0;
        double tokensTime = 0;
        /** Tokens of the segments that are evidence of the rate. */
        double evidence = 0;
    };
    Sums m_sums;

    void beginSegment(TimePoint now, bool beginsIdle);
    void addSegment(double tokens, double milliseconds, bool beginsIdle);

public:
    explicit PrefillRate(Settings settings);

    /** Records a prompt sent to the engine, which waits for its prefill from now on. */
    void recordSent(TimePoint now);
    /** Records that the prefill of a waiting prompt has ended, with the number of @p tokens that the engine prefilled. */
    void recordPrefilled(std::int64_t tokens, TimePoint now);
    /** Records that a waiting prompt will not be prefilled, or that nothing is known of it any more. */
    void recordDropped();

    /** Discards the rate, after new weights; prompts go on waiting. */
    void discard();
    /** Discards the rate and the waiting prompts, after a restart of the engine. */
    void clear();

    /** Prompt tokens per millisecond; 0 if unknown. */
    double tokensPerMs(TimePoint now) const;
};

}
