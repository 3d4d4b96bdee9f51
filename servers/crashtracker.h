#pragma once

#include "servers/completionhistory.h"
#include "servers/crashattribution.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/** One start of an endpoint. */
struct EndpointStart
{
    std::string id;
    std::string address;
    /** Milliseconds since the epoch; 0 if unknown. */
    std::int64_t startedMs = 0;
};

/** What a connection without a request, opened after an attempt was lost, shows of its endpoint. */
enum class EndpointReachability {
    /** The address takes connections, so the endpoint may be running. */
    Accepts,
    /** Nobody listens at the address, so the endpoint has ended. */
    Refuses,
    /** The endpoint has ended, or it can't be reached. */
    NoAnswer,
};

/** The name of this start in messages and rows, for example in CrashReport::crash. */
std::string startName(const EndpointStart &start);

/**
 * What one entry daemon knows about crashes. An attempt whose connection is lost
 * counts as evidence only if the endpoint has ended: resets and timeouts do not.
 * An address that gives no answer after it has reset the connection counts against
 * whole requests, as long as the endpoint is not reached again: sound ones are hardly
 * ever lost that way at several endpoints, while parts are in many requests.
 * Turns what the daemon sees into rows for the table that the daemons share, and
 * evaluates the rows of all.
 */
class CrashTracker
{
private:
    struct LostAttempts
    {
        EndpointStart start;
        TimePoint at{};
        std::vector<CrashSuspect> suspects;
        bool hasEnded = false;
        /** The address has given no answer since. */
        bool isUnreachable = false;
        /** An attempt is given up without an answer, so that no answer to a connection is no evidence. */
        bool isTimeout = true;
        /** When it was last found out whether the endpoint has ended. */
        TimePoint checkedAt = timeNever;
        /** When it is to be found out once more; timeNever if not. */
        TimePoint recheckAt = timeNever;
        /** When the report is due; timeNever if all attempts have been reported. */
        TimePoint reportDueAt = timeNever;
    };

    std::string m_daemon;
    CrashAttribution m_attribution;
    CompletionHistory m_history;
    /** By the name of the crash. */
    std::map<std::string, LostAttempts> m_lost;
    /** The starts that were listed at each address, the latest last. */
    std::map<std::string, std::vector<std::string>> m_startsAtAddress;
    /** Suspects to be cleared, and when. */
    std::map<SuspectId, TimePoint> m_clearances;
    /** Rows that have not been written yet, by key. */
    std::map<std::string, CrashRow> m_unwritten;
    /** Rows that the table has lost, and when they are to be written again unless another daemon has done so. */
    std::map<std::string, TimePoint> m_rewrites;
    /** The keys of rows that were removed from the table, and when. */
    std::map<std::string, TimePoint> m_removedKeys;
    /** Keys of rows that are to be removed from the table once more. */
    std::vector<std::string> m_obsoleteKeys;

    void addSuspects(LostAttempts &lost, const std::vector<CrashSuspect> &suspects);
    void handleEnded(LostAttempts &lost, TimePoint now);
    void scheduleReport(LostAttempts &lost, TimePoint now);
    void retractReport(const std::string &crash);
    void removeOldLosses(TimePoint now);
    void scheduleClearance(SuspectId suspect, TimePoint now);
    void reportCrashes(TimePoint now);
    void rewriteRows(TimePoint now);
    void scheduleRewrite(const CrashRow &row, TimePoint now);
    void writeClearances(TimePoint now);
    void addRow(const CrashRow &row);

public:
    /** @param daemon the name of this daemon */
    explicit CrashTracker(std::string daemon, CrashAttribution::Settings settings = CrashAttribution::Settings());

    CrashAttribution::Verdict check(const std::vector<CrashSuspect> &suspects, TimePoint now);

    /** The row that claims the next trial of a blocked suspect. */
    CrashRow makeTrial(SuspectId suspect, TimePoint now) const;

    /** Records that an attempt, sent at @p sentAt, was completed with success. */
    void recordCompleted(const std::vector<CrashSuspect> &suspects, TimePoint sentAt, TimePoint now);

    /** Records that the connection of an attempt was lost. Returns whether it has to be found out if the endpoint has ended. */
    bool recordLost(const EndpointStart &start, const std::vector<CrashSuspect> &suspects, TimePoint now);

    /** Records that an attempt is given up without an answer. Returns whether it has to be found out if the endpoint has ended. */
    bool recordUnanswered(const EndpointStart &start, const std::vector<CrashSuspect> &suspects, TimePoint now);

    /** Records that the endpoint has ended. */
    void recordEnded(const EndpointStart &start, TimePoint now);

    /** Records what a connection to the address of a lost attempt showed. */
    void recordReachability(const EndpointStart &start, EndpointReachability reachability, TimePoint now);

    /** The endpoints for which it has to be found out once more whether they have ended. */
    std::vector<EndpointStart> takeDueChecks(TimePoint now);

    /**
     * Records that @p start is listed; earlier starts at its address have ended.
     * @return whether it was not known
     */
    bool recordStarted(const EndpointStart &start, TimePoint now);

    /** Computes the rows that are due. */
    void update(TimePoint now);
    /** When update() is due; timeNever if no row is pending. */
    TimePoint nextUpdateAt() const;

    /** The rows to write, by key. */
    const std::map<std::string, CrashRow> &unwrittenRows() const;
    /** Records that @p row is in the table, unless it has been replaced since. */
    void recordWritten(const CrashRow &row);
    /** Discards a row that can't be written. */
    void discardUnwritten(const std::string &key);

    /** Applies a row that was read from the table. */
    void applyRow(const CrashRow &row, TimePoint now);
    void removeRow(const std::string &key, TimePoint now);
    /** Replaces all rows by those of a snapshot of the table. Rows that are not written yet stay in force. */
    void replaceRows(const std::vector<CrashRow> &rows, TimePoint now);

    /**
     * Applies the rows of an older copy that the table has come back from. What is known stays in force; rows that the copy
     * lacks are written again, the reports of this daemon at once, and rows that were removed since are removed again.
     */
    void mergeOlderRows(const std::vector<CrashRow> &rows, TimePoint now);

    /** Whether rows are in the table that are wrong, rather than only old. */
    bool hasWrongRows() const;
    /** The keys of rows that no longer count and may be removed from the table. */
    std::vector<std::string> takeDroppedKeys(TimePoint now);
    /** Records that wrong rows could not be removed. */
    void returnDroppedKeys(const std::vector<std::string> &keys);

    std::vector<SuspectId> blockedSuspects(TimePoint now);
};

}
