#include "main/proxy/streamversions.h"

#include "core/hash.h"

#include <algorithm>
#include <array>
#include <cinttypes>
#include <cstdio>
#include <set>

namespace citronspar
{

namespace
{

/** The tables in which the entry daemons share the software versions in use, and the streams that need a record. */
constexpr const char *versionTable = "versions";
constexpr const char *streamTable = "streams";
/** The row of the table of versions that notes the newest known era of the store. */
constexpr const char *eraKey = "era";

constexpr StoreFeed::PollSettings polling{std::chrono::seconds(20), std::chrono::milliseconds(10)};

constexpr Duration versionCheckPeriod = std::chrono::milliseconds(500);
// The daemons notice a new version at the same time. Their writes are spread, so that the first one makes the others needless.
constexpr Duration versionWriteSpreadPerDaemon = std::chrono::milliseconds(4);
constexpr Duration maxVersionWriteSpread = std::chrono::milliseconds(250);

// Bounds the transactions for records of all daemons together to a hundred per second.
constexpr Duration batchIntervalPerDaemon = std::chrono::milliseconds(10);
constexpr Duration minBatchInterval = std::chrono::milliseconds(50);
// A record is not written before the table has its version.
constexpr Duration maxVersionWait = std::chrono::seconds(1);
constexpr std::size_t maxRecordsPerWrite = 45;
constexpr std::size_t maxRemovalsPerWrite = 45;

constexpr Duration recordLifetime = std::chrono::seconds(90);
constexpr Duration sweepPeriod = std::chrono::minutes(10);
constexpr std::size_t maxRememberedStreams = 40000;

constexpr std::uint64_t nameSeed = 0x57e4;
constexpr std::uint64_t secondNameSeed = 0x1d0b;

}

StreamVersions::StreamVersions(Loop &loop, platform::StoreClient &store, DecisionLog &log, EndpointFeed &endpointFeed,
                               const std::string &daemon, std::function<int()> daemonCount)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_endpointFeed(endpointFeed)
    , m_daemonHash(hashBytes(daemon, nameSeed))
    , m_daemonCount(std::move(daemonCount))
    , m_versions(SoftwareVersions::Settings())
    , m_memory(SoftwareVersions::Settings().horizon, maxRememberedStreams)
    , m_feed(loop, store, log, versionTable, polling,
             StoreFeed::Handlers{[this](const std::vector<platform::StoreRow> &rows, bool isOfNewEra) {
                                     handleSnapshot(rows, isOfNewEra);
                                 },
                                 [this](const std::vector<platform::StoreRow> &rows) {
                                     handleChanges(rows);
                                 },
                                 [this](TimePoint producedAt) {
                                     m_versions.recordConfirmed(producedAt);
                                 },
                                 [](TimePoint) {},
                                 [this](TimePoint now) {
                                     m_versions.recordEra(now);
                                 }})
    , m_lookups(loop, store, log, versionTable, streamTable, m_versions, m_memory, m_feed,
                [this](const std::vector<platform::StoreRow> &rows) {
                    handleChanges(rows);
                })
{
    m_endpointFeed.onChange([this]() {
        observeList();
        updateVersions();
    });
    loop.timers().subscribe(versionCheckPeriod, [this](TimePoint) {
        updateVersions();
    });
    loop.timers().subscribe(sweepPeriod, [this](TimePoint) {
        sweep();
    });
}

std::string StreamVersions::streamName(const std::string &account, const std::string &requestId)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, hashBytes(requestId, hashBytes(account, nameSeed)),
                  hashBytes(requestId, hashBytes(account, secondNameSeed)));
    return text.data();
}

void StreamVersions::onReady(std::function<void()> handler)
{
    m_readyHandler = std::move(handler);
}

void StreamVersions::start()
{
    m_feed.start();
}

bool StreamVersions::isReady() const
{
    return m_isReady;
}

std::vector<VersionPeriod> StreamVersions::decodeRows(const std::vector<platform::StoreRow> &rows)
{
    const Duration offset = m_feed.clock().offset().value_or(Loop::now().time_since_epoch());
    std::vector<VersionPeriod> periods;
    for (const platform::StoreRow &row : rows) {
        // Lookups read the table beside the feed, so a response of the feed may be older than what is known.
        std::int64_t &readVersion = m_readVersions[row.key];
        if (row.version < readVersion) {
            continue;
        }
        readVersion = row.version;
        if (row.isDeleted) {
            m_readVersions.erase(row.key);
            m_rowVersions.erase(row.key);
            m_versions.remove(row.key);
            continue;
        }
        m_rowVersions[row.key] = row.version;
        if (row.key == eraKey) {
            m_notedEra = std::strtoll(row.value.c_str(), nullptr, 10);
            continue;
        }
        std::optional<VersionPeriod> period = decodeVersionPeriod(row.key, row.value, offset);
        if (period.has_value()) {
            periods.push_back(std::move(*period));
        } else {
            m_log.write("versions", "malformed row", {{"key", row.key}, {"row", std::to_string(row.version)}});
        }
    }
    return periods;
}

void StreamVersions::handleSnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra)
{
    m_rowVersions.clear();
    m_readVersions.clear();
    m_notedEra.reset();
    const std::vector<VersionPeriod> periods = decodeRows(rows);
    // A daemon that has started since learns from the row that the store has come back from an older copy.
    const bool isEraUnnoted = m_notedEra.has_value() && m_feed.era().has_value() && *m_notedEra != *m_feed.era();
    if (isOfNewEra || isEraUnnoted) {
        m_eraNoticedAt = Loop::now();
        m_versions.recordEra(m_eraNoticedAt);
    }
    if (isOfNewEra && m_hasSnapshot) {
        m_versions.mergeOlder(periods, Loop::now());
    } else {
        m_versions.replaceAll(periods, Loop::now());
    }
    m_hasSnapshot = true;
    m_log.write("versions", "versions read", {{"rows", std::to_string(rows.size())}});
    noteEra();
    updateVersions();
}

void StreamVersions::handleChanges(const std::vector<platform::StoreRow> &rows)
{
    for (const VersionPeriod &period : decodeRows(rows)) {
        m_versions.apply(period, Loop::now());
    }
    updateVersions();
}

void StreamVersions::noteEra()
{
    const std::optional<std::int64_t> era = m_feed.era();
    if (!era.has_value() || m_notedEra == era) {
        return;
    }
    // As long as records of streams may be missing, a daemon that starts has to learn of it.
    if (m_notedEra.has_value() && Loop::now() - m_eraNoticedAt < SoftwareVersions::Settings().horizon) {
        m_loop.timers().unsubscribe(m_eraTimer);
        m_eraTimer = m_loop.timers().subscribeOnce(SoftwareVersions::Settings().horizon, [this](TimePoint) {
            noteEra();
        });
        return;
    }
    const auto known = m_rowVersions.find(eraKey);
    platform::StoreTransaction transaction;
    transaction.expected.push_back({versionTable, eraKey, known == m_rowVersions.end() ? 0 : known->second});
    transaction.puts.push_back({versionTable, eraKey, std::to_string(*era)});
    m_store.transact(transaction, [](const platform::StoreReply &) {});
}

void StreamVersions::observeList()
{
    std::set<std::pair<std::string, std::string>> listed;
    for (const ListedEndpoint *endpoint : m_endpointFeed.directory().all()) {
        listed.emplace(endpoint->service, endpoint->softwareVersion);
    }
    m_versions.observe(listed, Loop::now());
}

void StreamVersions::updateVersions()
{
    // Without a configuration it is not known which of the listed services are real.
    if (!m_hasSnapshot || !m_endpointFeed.hasSnapshot() || !m_endpointFeed.directory().hasServices()) {
        return;
    }
    const TimePoint now = Loop::now();
    const std::vector<VersionPeriod> changes = m_versions.dueChanges(now);
    if (changes.empty()) {
        m_versionsDueAt = timeNever;
        if (!std::exchange(m_isReady, true) && m_readyHandler) {
            m_readyHandler();
        }
        return;
    }
    if (m_isWritingVersions) {
        return;
    }
    if (m_versionsDueAt == timeNever && m_isReady) {
        const Duration spread = std::min(versionWriteSpreadPerDaemon * m_daemonCount(), maxVersionWriteSpread);
        const std::uint64_t hash = hashBytes(versionRowKey(changes.front()), m_daemonHash);
        const Duration delay(static_cast<std::int64_t>(hash % static_cast<std::uint64_t>(spread.count())));
        m_versionsDueAt = now + delay;
        m_loop.timers().subscribeOnce(delay, [this](TimePoint) {
            updateVersions();
        });
        return;
    }
    // A daemon that has just started does not wait: the versions may be new to all daemons.
    if (!m_isReady || now >= m_versionsDueAt) {
        writeVersions(changes);
    }
}

void StreamVersions::writeVersions(const std::vector<VersionPeriod> &changes)
{
    const std::optional<Duration> offset = m_feed.clock().offset();
    if (!offset.has_value()) {
        return;
    }
    m_isWritingVersions = true;
    platform::StoreTransaction transaction;
    std::vector<VersionPeriod> written;
    for (const VersionPeriod &change : changes) {
        if (written.size() >= maxRecordsPerWrite) {
            break;
        }
        const std::string key = versionRowKey(change);
        const auto known = m_rowVersions.find(key);
        transaction.expected.push_back({versionTable, key, known == m_rowVersions.end() ? 0 : known->second});
        transaction.puts.push_back({versionTable, key, encodeVersionPeriod(change, *offset)});
        written.push_back(change);
    }
    for (const std::string &key : m_versions.obsoleteKeys(Loop::now())) {
        if (transaction.removals.size() < maxRemovalsPerWrite) {
            transaction.removals.push_back({versionTable, key, 0});
        }
    }
    m_store.transact(transaction, [this, written](const platform::StoreReply &reply) {
        handleVersionsWritten(written, reply);
    });
}

void StreamVersions::handleVersionsWritten(const std::vector<VersionPeriod> &changes, const platform::StoreReply &reply)
{
    m_isWritingVersions = false;
    m_versionsDueAt = timeNever;
    for (const VersionPeriod &change : changes) {
        m_log.write("versions", reply.failure.has_value() ? "version not written" : "version written",
                    {{"service", change.service},
                     {"version", change.version},
                     {"state", change.until == timeNever ? "in use" : "gone"},
                     {"status", std::to_string(reply.status)}});
        if (!reply.failure.has_value()) {
            m_rowVersions[versionRowKey(change)] = reply.rows.version;
            m_versions.apply(change, Loop::now());
        }
    }
    // After a failure the next periodic check tries again.
    if (!reply.failure.has_value()) {
        updateVersions();
    }
}

std::optional<TimePoint> StreamVersions::inUseSince(const std::string &service, const std::string &version) const
{
    return m_versions.inUseSince(service, version);
}

SoftwareVersions::RecordNeed StreamVersions::recordNeed(const std::string &service, const std::string &version) const
{
    return m_versions.recordNeed(service, version, Loop::now());
}

Duration StreamVersions::batchInterval() const
{
    return std::max(batchIntervalPerDaemon * m_daemonCount(), minBatchInterval);
}

StreamVersions::RecordId StreamVersions::record(const Stream &stream, const std::string &version, bool isReplacement, RecordHandler handler)
{
    const RecordId id = ++m_lastId;
    const StreamMemory::Entry *known = m_memory.find(stream.name);
    const bool isOther = known != nullptr && !isReplacement && (known->isAmbiguous || known->version != version);
    m_memory.put(stream.name, StreamMemory::Entry{stream.service, version, isOther}, Loop::now());
    m_pending[id] = Pending{stream, version, std::move(handler), Loop::now(), isReplacement, isOther};
    if (isOther) {
        markAmbiguous(id);
    } else {
        scheduleFlush();
    }
    return id;
}

void StreamVersions::cancelRecord(RecordId id)
{
    const auto found = m_pending.find(id);
    if (found != m_pending.end()) {
        found->second.handler = nullptr;
    }
}

void StreamVersions::scheduleFlush()
{
    if (m_isFlushScheduled) {
        return;
    }
    m_isFlushScheduled = true;
    m_loop.timers().subscribeOnce(batchInterval(), [this](TimePoint) {
        m_isFlushScheduled = false;
        flush();
    });
}

void StreamVersions::flush()
{
    std::vector<RecordId> ids;
    std::vector<RecordId> overdue;
    bool isWaiting = false;
    for (std::pair<const RecordId, Pending> &entry : m_pending) {
        Pending &pending = entry.second;
        if (pending.isSent) {
            continue;
        }
        // A daemon that finds a single version in the table does not look for records.
        if (!m_versions.isInTable(pending.stream.service, pending.version)) {
            isWaiting = true;
            if (Loop::now() - pending.begunAt > maxVersionWait) {
                overdue.push_back(entry.first);
            }
            continue;
        }
        pending.isSent = true;
        ids.push_back(entry.first);
        if (ids.size() >= maxRecordsPerWrite) {
            write(ids);
            ids.clear();
        }
    }
    if (!ids.empty()) {
        write(ids);
    }
    for (const RecordId id : overdue) {
        finishRecord(id, false);
    }
    if (isWaiting) {
        m_versionsDueAt = Loop::now();
        updateVersions();
        scheduleFlush();
    }
}

std::vector<platform::StoreTransaction::RowName> StreamVersions::takeRemovals()
{
    std::vector<platform::StoreTransaction::RowName> removals;
    while (!m_removals.empty() && m_removals.front().first <= Loop::now() && removals.size() < maxRemovalsPerWrite) {
        removals.push_back({streamTable, m_removals.front().second, 0});
        m_removals.pop_front();
    }
    return removals;
}

void StreamVersions::write(const std::vector<RecordId> &ids)
{
    const std::optional<Duration> offset = m_feed.clock().offset();
    platform::StoreTransaction transaction;
    for (const RecordId id : ids) {
        const Pending &pending = m_pending.at(id);
        // Two daemons may get requests with one id, and two attempts of a request go to different versions.
        if (!pending.isReplacement) {
            transaction.expected.push_back({streamTable, pending.stream.name, 0});
        }
        transaction.puts.push_back({streamTable, pending.stream.name,
                                    encodeStreamRecord(StreamRecord{pending.stream.service, pending.version, false, Loop::now()},
                                                       offset.value_or(Duration::zero()))});
    }
    transaction.removals = takeRemovals();
    for (const RecordId id : ids) {
        m_removals.emplace_back(Loop::now() + recordLifetime, m_pending.at(id).stream.name);
    }
    m_store.transact(transaction, [this, ids](const platform::StoreReply &reply) {
        handleWritten(ids, reply);
    });
}

void StreamVersions::handleWritten(const std::vector<RecordId> &ids, const platform::StoreReply &reply)
{
    if (reply.failure.has_value()) {
        m_log.write("versions", "streams not recorded",
                    {{"streams", std::to_string(ids.size())}, {"status", std::to_string(reply.status)}});
    }
    const bool isConflict = reply.failure == platform::StoreFailure::Conflict;
    for (const RecordId id : ids) {
        if (!isConflict) {
            finishRecord(id, !reply.failure.has_value());
        } else if (ids.size() > 1) {
            write({id});
        } else {
            markAmbiguous(id);
        }
    }
}

void StreamVersions::markAmbiguous(RecordId id)
{
    const Pending &pending = m_pending.at(id);
    m_log.write("versions", "stream name used twice", {{"service", pending.stream.service}, {"version", pending.version}});
    m_memory.put(pending.stream.name, StreamMemory::Entry{pending.stream.service, pending.version, true}, Loop::now());
    const StreamRecord record{pending.stream.service, pending.version, true, Loop::now()};
    m_store.put(streamTable, pending.stream.name, encodeStreamRecord(record, m_feed.clock().offset().value_or(Duration::zero())),
                [this, id](const platform::StoreReply &reply) {
                    finishRecord(id, !reply.failure.has_value());
                });
}

void StreamVersions::finishRecord(RecordId id, bool isRecorded)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end()) {
        return;
    }
    const RecordHandler handler = std::move(found->second.handler);
    m_pending.erase(found);
    if (handler) {
        handler(isRecorded);
    }
}

void StreamVersions::sweep()
{
    // The records of a daemon that has ended are removed by the others. Each page is read by the daemon that comes first.
    m_store.read(streamTable, m_sweepFrom, [this](const platform::StoreReply &reply) {
        const std::optional<Duration> offset = m_feed.clock().offset();
        if (reply.failure.has_value() || !offset.has_value()) {
            return;
        }
        m_sweepFrom = reply.rows.isTruncated && !reply.rows.rows.empty() ? reply.rows.rows.back().key : std::string();
        platform::StoreTransaction transaction;
        for (const platform::StoreRow &row : reply.rows.rows) {
            const std::optional<StreamRecord> record = decodeStreamRecord(row.value, *offset);
            const bool isOld = !record.has_value() || Loop::now() - record->at > 2 * recordLifetime;
            if (isOld && transaction.removals.size() < maxRemovalsPerWrite) {
                transaction.removals.push_back({streamTable, row.key, 0});
            }
        }
        if (!transaction.removals.empty()) {
            m_store.transact(transaction, [](const platform::StoreReply &) {});
        }
    });
}

VersionLookups &StreamVersions::lookups()
{
    return m_lookups;
}

}
