#pragma once

#include "drivers/decisionlog.h"
#include "drivers/versionrowjson.h"
#include "main/feeds/endpointfeed.h"
#include "main/feeds/storefeed.h"
#include "main/proxy/versionlookups.h"
#include "servers/softwareversions.h"
#include "servers/streammemory.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace citronspar
{

/**
 * Knows at which software version each stream began, also after all entry daemons
 * have restarted: shares the versions in use through one table of the platform's
 * store, and the streams that need a record, in batches, through another.
 */
class StreamVersions
{
public:
    using RecordId = std::uint64_t;
    /** Receives whether the record is in the table. */
    using RecordHandler = std::function<void(bool isRecorded)>;
    using Stream = VersionLookups::Stream;

private:
    struct Pending
    {
        Stream stream;
        std::string version;
        RecordHandler handler;
        TimePoint begunAt{};
        /** Replaces the record of an earlier attempt of the same request. */
        bool isReplacement = false;
        bool isSent = false;
    };

    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    EndpointFeed &m_endpointFeed;
    std::uint64_t m_daemonHash;
    std::function<int()> m_daemonCount;
    SoftwareVersions m_versions;
    StreamMemory m_memory;
    StoreFeed m_feed;
    VersionLookups m_lookups;
    std::function<void()> m_readyHandler;
    bool m_isReady = false;
    bool m_hasSnapshot = false;
    /** The versions of the rows in the table of versions, by key. */
    std::map<std::string, std::int64_t> m_rowVersions;
    /** The newest versions in which the rows were read, by key. */
    std::map<std::string, std::int64_t> m_readVersions;
    /** The era of the store that the table notes; nullopt if it has no such row. */
    std::optional<std::int64_t> m_notedEra;
    TimePoint m_eraNoticedAt = timeNever;
    TimerService::TimerId m_eraTimer = 0;
    bool m_isWritingVersions = false;
    TimePoint m_versionsDueAt = timeNever;

    std::map<RecordId, Pending> m_pending;
    RecordId m_lastId = 0;
    bool m_isFlushScheduled = false;
    /** The names of own records, and when they may be removed. */
    std::deque<std::pair<TimePoint, std::string>> m_removals;
    /** Where the next search for records of ended daemons begins. */
    std::string m_sweepFrom;

    std::vector<VersionPeriod> decodeRows(const std::vector<platform::StoreRow> &rows);
    void handleSnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra);
    void handleChanges(const std::vector<platform::StoreRow> &rows);
    void noteEra();
    void observeList();
    void updateVersions();
    void writeVersions(const std::vector<VersionPeriod> &changes);
    void handleVersionsWritten(const std::vector<VersionPeriod> &changes, const platform::StoreReply &reply);
    Duration batchInterval() const;
    void scheduleFlush();
    void flush();
    void write(const std::vector<RecordId> &ids);
    void handleWritten(const std::vector<RecordId> &ids, const platform::StoreReply &reply);
    void markAmbiguous(RecordId id);
    void finishRecord(RecordId id, bool isRecorded);
    std::vector<platform::StoreTransaction::RowName> takeRemovals();
    void sweep();

public:
    /**
     * @param daemon the name of this daemon
     * @param daemonCount the number of entry daemons
     */
    StreamVersions(Loop &loop, platform::StoreClient &store, DecisionLog &log, EndpointFeed &endpointFeed, const std::string &daemon,
                   std::function<int()> daemonCount);

    /** The name of the stream that a request of a client account began. Ids of other accounts' requests give other names. */
    static std::string streamName(const std::string &account, const std::string &requestId);

    /** Sets the handler that is called when isReady() becomes true. */
    void onReady(std::function<void()> handler);
    void start();
    /** Whether the versions have been read, and those of the first list of endpoints are in the table. */
    bool isReady() const;

    /** See SoftwareVersions::inUseSince(). */
    std::optional<TimePoint> inUseSince(const std::string &service, const std::string &version) const;

    SoftwareVersions::RecordNeed recordNeed(const std::string &service, const std::string &version) const;

    /**
     * Records that a stream is about to begin. The handler is called asynchronously.
     * @param isReplacement whether an attempt of the same request was recorded before
     */
    RecordId record(const Stream &stream, const std::string &version, bool isReplacement, RecordHandler handler);
    /** The handler of this record is not called any more. */
    void cancelRecord(RecordId id);

    VersionLookups &lookups();
};

}
