#pragma once

#include "servers/crashrow.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * Finds out which prompt parts and requests crash engines, from the reports of
 * all entry daemons, and blocks them.
 *
 * A suspect that causes crashes is in each of them and is never completed, while
 * a sound one that shared an engine with it is completed elsewhere; so a crash
 * counts against a suspect until a request with it that was sent later is
 * completed. The suspects with the most crashes and the fewest completions are
 * blocked first, and the crashes that they explain no longer count against the
 * others. All daemons that know the same rows come to the same result.
 *
 * The evidence ends after Settings::lifetime. Before that, one request at a
 * time is let through as a trial, at intervals that grow with each trial.
 *
 * A whole request is judged more strictly than a part: it is always the same, so
 * that one completion does not show that it is sound. It is cleared only if it
 * is completed far more often than endpoints end under it, or if all its trials
 * are completed; it gets few trials, and its evidence is kept longer.
 */
class CrashAttribution
{
public:
    struct Settings
    {
        /** How many crashes block a suspect. */
        int crashesToBlock = 3;
        /**
         * The same for a suspect without completions, if all but one of the crashes are explained by other suspects: two causes
         * may come in the same prompts.
         */
        int sharedCrashesToBlock = 5;
        /**
         * Engines that end within this time count as one crash: a loss of power ends many at once. A whole request that was sent
         * to an engine after the one before had ended is an exception, as its attempts end their engines in turn.
         */
        Duration simultaneous = std::chrono::milliseconds(100);
        /**
         * How long a crash must be known before it blocks a suspect that was completed recently: reports of other
         * daemons that name the cause may be on their way, and a completion may clear the suspect.
         */
        Duration settleTime = std::chrono::milliseconds(500);
        /** How long a crash counts. */
        Duration lifetime = std::chrono::minutes(10);
        /**
         * The time from the last crash to the first trial. It is short, as a sound suspect is blocked now and then: one that
         * is seldom requested and was on each engine that crashed. Each trial multiplies it by trialDelayFactor.
         */
        Duration firstTrialDelay = std::chrono::seconds(1);
        int trialDelayFactor = 8;
        /** How many completions clear a whole request of one crash. */
        std::int64_t completionsPerCrash = 5;
        /** The limit on the trials of a blocked whole request; later crashes count as trials, too. */
        int maxRequestTrials = 3;
        /** How long the crashes of a whole request count that has enough of them to be blocked. */
        Duration requestLifetime = std::chrono::hours(24);
        /** Limits on the rows that are kept and on the suspects in them. The oldest rows that do not block a suspect are dropped first. */
        std::size_t maxRows = 1024;
        std::size_t maxSuspects = 20000;
    };

    enum class Decision {
        Admit,
        Block,
        /** Blocked, but due for a trial. */
        Trial,
    };

    struct Verdict
    {
        Decision decision = Decision::Admit;
        /** The suspects of the request that are blocked. */
        std::vector<SuspectId> blocked;
        /** The row that claims the next trial of a blocked suspect. */
        CrashRow makeTrial(SuspectId suspect, TimePoint now) const;

        /** How many crashes count against the first of them, and the time since the last. */
        int crashes = 0;
        /** How many endpoint starts ended in these crashes; ends at the same time count as one crash. */
        int ends = 0;
        Duration lastCrashAge{};
        /** The daemons that reported these crashes. */
        std::set<std::string> reporters;
        /** Time until the next trial of all of them. */
        Duration untilTrial{};
    };

private:
    struct Crash
    {
        TimePoint at{};
        /** When the suspect was sent to the engine; timeNever if unknown. */
        TimePoint sentAt = timeNever;
    };

    struct Record
    {
        bool isWholeRequest = false;
        /** By the name of the crash. */
        std::map<std::string, Crash> crashes;
        /** The latest number of completions that each reporter has stated. */
        std::map<std::string, std::int64_t> completions;
        TimePoint clearedAt = timeNever;
        TimePoint lastTrialAt = timeNever;
        int trialCount = 0;
    };

    struct Block
    {
        int crashes = 0;
        TimePoint lastCrashAt{};
    };

    Settings m_settings;
    std::map<std::string, CrashRow> m_rows;
    /** The keys of m_rows by age, the oldest first. */
    std::set<std::pair<TimePoint, std::string>> m_keysByAge;
    std::unordered_map<SuspectId, Record> m_records;
    std::map<SuspectId, Block> m_blocked;
    /** When m_blocked has to be computed again, if no row changes before. */
    TimePoint m_updateAt = timeNever;
    std::vector<std::string> m_droppedKeys;
    /** The number of suspects in all rows. */
    std::size_t m_suspectCount = 0;
    /** When rows are next dropped for their age. */
    TimePoint m_expiryAt = timeNever;

    using RowIterator = std::map<std::string, CrashRow>::iterator;

    void addReport(const CrashReport &report);
    void removeRow(RowIterator row);
    void removeReport(const CrashReport &report);
    void removeIfEmpty(SuspectId suspect);
    /** Drops the rows beyond the limits. */
    void dropSurplusRows();
    void dropRow(const std::string &key);
    /** Drops what has become too old to count. */
    void expireRows(TimePoint now);
    void expireRow(const std::string &key, TimePoint now);
    /** Whether a suspect is a whole request with enough crashes to be blocked. */
    bool isBlockableRequest(SuspectId suspect) const;
    /** Whether the record has enough crashes not in @p explained to be blocked for them. */
    bool isEnough(const Record &record, int crashes, TimePoint now) const;
    int usedTrials(const Record &record) const;
    bool isReleasedByTrials(const Record &record, TimePoint sentAt) const;
    /** The oldest row that does not count against a blocked suspect; the oldest of all if each does. */
    std::string leastUsefulKey() const;
    /** The times of the crashes that count against a suspect and are not in @p explained, without those that are simultaneous with an
     * earlier one. */
    std::vector<TimePoint> countedCrashes(const Record &record, const std::set<std::string> &explained) const;
    static std::int64_t completionsOf(const Record &record);
    /** The number of these crashes that may block the suspect now. */
    int settledCrashes(const Record &record, const std::set<std::string> &explained, TimePoint now) const;
    /** Finds the suspects that best explain the crashes not in @p explained; empty if none has enough. */
    std::vector<SuspectId> bestExplanation(const std::set<std::string> &explained, TimePoint now) const;
    void update(TimePoint now);
    static int trialsSinceCleared(const Record &record);
    TimePoint nextTrialAt(const Record &record, const Block &block) const;

public:
    explicit CrashAttribution(Settings settings);

    void apply(const CrashRow &row);
    const std::map<std::string, CrashRow> &rows() const;

    /** Drops a row that was removed from the table. */
    void remove(const std::string &key);
    void clear();

    /** Decides whether a request with these suspects may be sent to an endpoint. */
    Verdict check(const std::vector<CrashSuspect> &suspects, TimePoint now);

    /** The row that claims the next trial of a blocked suspect. */
    CrashRow makeTrial(SuspectId suspect, TimePoint now) const;

    /** How many crashes count against a suspect, whether it is blocked or not. */
    int crashCount(SuspectId suspect) const;

    /**
     * Whether the completion of a request that was sent at @p sentAt takes a crash from a suspect that is blocked or nearly so.
     * @param completions how many requests with it have recently been completed
     */
    bool isClearedBy(SuspectId suspect, TimePoint sentAt, std::int64_t completions) const;

    /** The keys of rows that were dropped for their age or by the limit since the last call; they may be removed from the table. */
    std::vector<std::string> takeDroppedKeys(TimePoint now);

    std::vector<SuspectId> blockedSuspects(TimePoint now);
};

}
