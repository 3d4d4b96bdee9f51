#pragma once

#include "drivers/decisionlog.h"
#include "main/feeds/storefeed.h"
#include "servers/softwareversions.h"
#include "servers/streammemory.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Finds the software version at which a stream began that a caller takes up. What
 * the daemon knows of versions counts only if the table of versions was read after
 * the caller asked; one reading serves all lookups that wait for it.
 */
class VersionLookups
{
public:
    using LookupId = std::uint64_t;
    /** Receives the version that began the stream; nullopt if it is not certain. */
    using LookupHandler = std::function<void(const std::optional<std::string> &version)>;
    using RowsHandler = std::function<void(const std::vector<platform::StoreRow> &rows)>;

    /** Names one stream of a service. */
    struct Stream
    {
        /** See StreamVersions::streamName(). */
        std::string name;
        std::string service;
    };

private:
    struct Lookup
    {
        Stream stream;
        LookupHandler handler;
        TimePoint askedAt{};
    };

    Loop &m_loop;
    platform::StoreClient &m_store;
    DecisionLog &m_log;
    std::string m_versionTable;
    std::string m_streamTable;
    SoftwareVersions &m_versions;
    const StreamMemory &m_memory;
    const StoreFeed &m_feed;
    RowsHandler m_applyRows;
    std::map<LookupId, Lookup> m_lookups;
    /** The lookups that wait for the table of versions. */
    std::vector<LookupId> m_waiting;
    bool m_isReading = false;
    LookupId m_lastId = 0;

    void advance(LookupId id);
    void readVersions();
    void handleVersions(const platform::StoreReply &reply, TimePoint sentAt, std::optional<std::int64_t> era);
    void readRecord(LookupId id);
    void handleRecord(LookupId id, const platform::StoreReply &reply);
    std::optional<std::string> knownVersion(const Stream &stream, const StreamMemory::Entry &known) const;
    void finish(LookupId id, const std::optional<std::string> &version, const char *source);

public:
    /**
     * @param versions receives the rows of the table of versions by @p applyRows
     * @param feed follows the table of versions
     */
    VersionLookups(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string versionTable, std::string streamTable,
                   SoftwareVersions &versions, const StreamMemory &memory, const StoreFeed &feed, RowsHandler applyRows);

    /** Finds the version that began a stream. The handler is called asynchronously. */
    LookupId start(const Stream &stream, LookupHandler handler);
    /** The handler of this lookup is not called any more. */
    void cancel(LookupId id);
};

}
