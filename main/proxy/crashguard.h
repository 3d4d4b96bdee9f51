#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/storefeed.h"
#include "main/proxy/endpointcheck.h"
#include "servers/crashtracker.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Keeps requests that crash engines away from them. Shares the evidence with the
 * other entry daemons through a table of the platform's store, so that crashes
 * that each daemon has seen few of count together, and a daemon that starts
 * knows what the others have seen.
 */
class CrashGuard
{
public:
    using ClaimId = std::uint64_t;
    using ClaimHandler = std::function<void(bool isClaimed)>;

private:
    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    CrashTracker m_tracker;
    EndpointCheck m_endpointCheck;
    StoreFeed m_feed;
    /** The versions of the trial rows in the table, by key. */
    std::map<std::string, std::int64_t> m_trialVersions;
    std::map<ClaimId, ClaimHandler> m_claims;
    ClaimId m_lastClaim = 0;
    TimerService::TimerId m_updateTimer = 0;
    bool m_isWriting = false;
    /** The blocked suspects that were last logged. */
    std::set<SuspectId> m_loggedBlocks;

    std::vector<CrashRow> decodeRows(const std::vector<platform::StoreRow> &rows);
    void handleSnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra);
    void handleChanges(const std::vector<platform::StoreRow> &rows);
    void update();
    void writeRows();
    void handleWritten(const std::vector<CrashRow> &rows, const platform::StoreReply &reply);
    void scheduleUpdate(TimePoint at);
    /** @param isSilent whether the endpoint does not answer its endpoint daemon either */
    void checkEndpoint(const EndpointStart &start, bool isSilent = false);
    void logBlocks();

public:
    /** @param daemon the name of this daemon */
    CrashGuard(Loop &loop, platform::StoreClient &store, DecisionLog &log, const std::string &daemon);

    /** Reads the evidence of all daemons, and follows it from then on. */
    void start();

    CrashAttribution::Verdict check(const std::vector<CrashSuspect> &suspects);

    /**
     * Claims the trial of blocked suspects for one request; only one daemon gets it. The handler is called asynchronously.
     */
    ClaimId claimTrial(const std::vector<SuspectId> &suspects, ClaimHandler handler);
    /** The handler of this claim is not called any more. */
    void cancelClaim(ClaimId id);

    /** Records that an attempt, sent at @p sentAt, was completed with success. */
    void recordCompleted(const std::vector<CrashSuspect> &suspects, TimePoint sentAt);

    /** Records that the connection of an attempt was lost, and finds out whether the endpoint has ended. */
    void recordLost(const EndpointStart &start, const std::vector<CrashSuspect> &suspects);

    /**
     * Records that the endpoint of a running attempt no longer answers its endpoint daemon. It counts as ended if it does not
     * answer this daemon either; the attempt is not given up for that.
     */
    void recordSilent(const EndpointStart &start, const std::vector<CrashSuspect> &suspects);

    /** Records that an attempt is given up without an answer, and finds out whether the endpoint has ended. */
    void recordUnanswered(const EndpointStart &start, const std::vector<CrashSuspect> &suspects);

    /** Records that an endpoint is listed or has reported its start. Returns whether the start was not known. */
    bool recordStarted(const EndpointStart &start);
};

}
