#pragma once

#include "core/time.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/** When streams could begin at one software version of a service. A row of the table that the entry daemons share. */
struct VersionPeriod
{
    std::string service;
    std::string version;
    TimePoint from{};
    /** timeNever as long as endpoints with this version are listed. */
    TimePoint until = timeNever;
};

/** The key of the row in the table. */
std::string versionRowKey(const VersionPeriod &period);

/**
 * Knows which software versions of each service have been in use, and concludes
 * at which one a stream began that nobody has recorded.
 *
 * What endpoints of two versions write into one stream does not fit together, so a
 * stream goes on only at the version that began it, also if all entry daemons have
 * restarted since. Recording each stream would cost calls to the store in
 * proportion to the traffic. Instead, the table says which versions are in use. As
 * long as a single one can have begun a stream, no stream is recorded; after a new
 * version has come, streams at the new one are recorded, so that the others are
 * known to have begun at the old one; if several versions have been in use for
 * longer than a stream can last, all are.
 */
class SoftwareVersions
{
public:
    struct Settings
    {
        /** The longest time from the begin of a stream until its caller takes it up. */
        Duration horizon = std::chrono::seconds(60);
        /** How long no endpoint with a version must be listed until its period ends. */
        Duration goneDelay = std::chrono::seconds(5);
        /** How long after the begin of a new era rows that the table has lost may be missing. */
        Duration settleTime = std::chrono::seconds(3);
    };

    enum class RecordNeed {
        /** A stream without a record is known to have begun at this version. */
        None,
        /** A stream without a record can't be taken up. */
        Useful,
        /** A stream without a record would be taken for one of another version. */
        Required,
    };

    /** What has to be done next to find the version of a stream that this daemon has not recorded. */
    enum class LookupStep {
        /** The periods may be older than the stream: the table of versions has to be read. */
        ReadVersions,
        /** Several versions may have begun the stream: its record has to be read. */
        ReadRecord,
        /** unrecordedVersion() is the answer. */
        Conclude,
    };

private:
    using Name = std::pair<std::string, std::string>;

    Settings m_settings;
    std::map<Name, VersionPeriod> m_periods;
    std::set<Name> m_listed;
    /** When the versions were last listed, or became known. */
    std::map<Name, TimePoint> m_lastListed;
    /** Periods that the table has lost. */
    std::set<Name> m_lost;
    TimePoint m_eraBegan = timeNever;
    /** The table had no other periods at this time; timeNever before it was read. */
    TimePoint m_confirmedAt = timeNever;

    /** Whether the table says that streams begin at this version. */
    bool isInUse(const std::string &service, const std::string &version) const;
    /** The versions of a service whose periods overlap with a span of time, which includes its end only if @p isEndIncluded. */
    std::set<std::string> versionsBetween(const std::string &service, TimePoint begin, TimePoint end, bool isEndIncluded) const;
    std::optional<std::string> versionWithoutRecord(const std::string &service, TimePoint now) const;

public:
    explicit SoftwareVersions(Settings settings);

    /** Applies a row that was read from the table or was written to it. */
    void apply(const VersionPeriod &period, TimePoint now);
    /** Replaces all periods by those of a snapshot of the table. */
    void replaceAll(const std::vector<VersionPeriod> &periods, TimePoint now);
    /** Applies the rows of an older copy that the table has come back from. Periods that it lacks are written again. */
    void mergeOlder(const std::vector<VersionPeriod> &periods, TimePoint now);
    void remove(const std::string &key);

    /** The table has come back from an older copy at @p at: records of streams may be lost. */
    void recordEra(TimePoint at);

    /** Sets the services and versions of all listed endpoints. */
    void observe(const std::set<std::pair<std::string, std::string>> &listed, TimePoint now);

    /** The rows that have to be written because of the list. */
    std::vector<VersionPeriod> dueChanges(TimePoint now) const;
    /** The keys of rows that no longer matter. */
    std::vector<std::string> obsoleteKeys(TimePoint now) const;

    /** The table had no other periods at @p at than those applied. */
    void recordConfirmed(TimePoint at);

    /**
     * @param askedAt when the caller took the stream up. A version that the periods lack may have begun the stream until then: another
     *        daemon may have seen it while this one was paused or had no connection to the table.
     */
    LookupStep nextLookupStep(const std::string &service, TimePoint askedAt, TimePoint now) const;

    /** Whether a daemon that reads the table learns that streams begin at this version, and looks for their records. */
    bool isInTable(const std::string &service, const std::string &version) const;

    /** When the version came into use, according to the table; nullopt if the table does not say that it is in use. */
    std::optional<TimePoint> inUseSince(const std::string &service, const std::string &version) const;

    RecordNeed recordNeed(const std::string &service, const std::string &version, TimePoint now) const;

    /** The only version at which streams of the service can have begun; nullopt if there are several or none. */
    std::optional<std::string> onlyVersion(const std::string &service, TimePoint now) const;

    /** The version at which a stream began that has no record; nullopt if that is not certain. */
    std::optional<std::string> unrecordedVersion(const std::string &service, TimePoint now) const;
};

}
