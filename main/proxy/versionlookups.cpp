#include "main/proxy/versionlookups.h"

#include "drivers/versionrowjson.h"

#include <utility>

namespace citronspar
{

VersionLookups::VersionLookups(Loop &loop, platform::StoreClient &store, DecisionLog &log, std::string versionTable,
                               std::string streamTable, SoftwareVersions &versions, const StreamMemory &memory, const StoreFeed &feed,
                               RowsHandler applyRows)
    : m_loop(loop)
    , m_store(store)
    , m_log(log)
    , m_versionTable(std::move(versionTable))
    , m_streamTable(std::move(streamTable))
    , m_versions(versions)
    , m_memory(memory)
    , m_feed(feed)
    , m_applyRows(std::move(applyRows))
{
}

VersionLookups::LookupId VersionLookups::start(const Stream &stream, LookupHandler handler)
{
    const LookupId id = ++m_lastId;
    m_lookups[id] = Lookup{stream, std::move(handler), Loop::now()};
    m_loop.timers().subscribeOnce(Duration::zero(), [this, id](TimePoint) {
        advance(id);
    });
    return id;
}

void VersionLookups::cancel(LookupId id)
{
    m_lookups.erase(id);
}

std::optional<std::string> VersionLookups::knownVersion(const Stream &stream, const StreamMemory::Entry &known) const
{
    const bool isCertain = !known.isAmbiguous && known.service == stream.service;
    return isCertain ? std::optional<std::string>(known.version) : std::nullopt;
}

void VersionLookups::advance(LookupId id)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end()) {
        return;
    }
    const Stream &stream = found->second.stream;
    const StreamMemory::Entry *known = m_memory.find(stream.name);
    if (known != nullptr) {
        finish(id, knownVersion(stream, *known), "known");
        return;
    }
    if (!m_feed.hasSnapshot()) {
        finish(id, std::nullopt, "versions not read yet");
        return;
    }
    switch (m_versions.nextLookupStep(stream.service, found->second.askedAt, Loop::now())) {
    case SoftwareVersions::LookupStep::ReadVersions:
        m_waiting.push_back(id);
        readVersions();
        return;
    case SoftwareVersions::LookupStep::ReadRecord:
        readRecord(id);
        return;
    case SoftwareVersions::LookupStep::Conclude:
        finish(id, m_versions.unrecordedVersion(stream.service, Loop::now()), "versions in use");
        return;
    }
}

void VersionLookups::readVersions()
{
    if (std::exchange(m_isReading, true)) {
        return;
    }
    const TimePoint sentAt = Loop::now();
    const std::optional<std::int64_t> era = m_feed.era();
    m_store.feed(m_versionTable, m_feed.version(), Duration::zero(), [this, sentAt, era](const platform::StoreReply &reply) {
        handleVersions(reply, sentAt, era);
    });
}

void VersionLookups::handleVersions(const platform::StoreReply &reply, TimePoint sentAt, std::optional<std::int64_t> era)
{
    m_isReading = false;
    const std::vector<LookupId> waiting = std::exchange(m_waiting, {});
    const bool isOfEra = reply.era == era && era == m_feed.era();
    if (!reply.failure.has_value() && isOfEra) {
        m_applyRows(reply.rows.rows);
        m_versions.recordConfirmed(sentAt);
    }
    for (const LookupId id : waiting) {
        const auto found = m_lookups.find(id);
        if (found == m_lookups.end()) {
            continue;
        }
        const bool isAnswered = found->second.askedAt <= sentAt;
        if (isAnswered && (reply.failure.has_value() || !isOfEra)) {
            finish(id, std::nullopt, "versions not read");
        } else {
            advance(id);
        }
    }
}

void VersionLookups::readRecord(LookupId id)
{
    m_store.readRow(m_streamTable, m_lookups.at(id).stream.name, [this, id](const platform::StoreReply &reply) {
        handleRecord(id, reply);
    });
}

void VersionLookups::handleRecord(LookupId id, const platform::StoreReply &reply)
{
    const auto found = m_lookups.find(id);
    if (found == m_lookups.end()) {
        return;
    }
    const std::string &service = found->second.stream.service;
    if (reply.failure.has_value()) {
        finish(id, std::nullopt, "table not read");
        return;
    }
    if (reply.rows.rows.empty() && reply.era != m_feed.era()) {
        // The table has come back from an older copy, which may lack the record.
        finish(id, std::nullopt, "no record in a new era");
        return;
    }
    if (reply.rows.rows.empty()) {
        finish(id, m_versions.unrecordedVersion(service, Loop::now()), "no record");
        return;
    }
    const std::optional<StreamRecord> record
        = decodeStreamRecord(reply.rows.rows.front().value, m_feed.clock().offset().value_or(Duration::zero()));
    const bool isCertain = record.has_value() && !record->isAmbiguous && record->service == service;
    finish(id, isCertain ? std::optional<std::string>(record->version) : std::nullopt, "record");
}

void VersionLookups::finish(LookupId id, const std::optional<std::string> &version, const char *source)
{
    const auto found = m_lookups.find(id);
    const Lookup lookup = std::move(found->second);
    m_lookups.erase(found);
    m_log.write(
        "versions", version.has_value() ? "version of a stream found" : "version of a stream unknown",
        {{"stream", lookup.stream.name}, {"service", lookup.stream.service}, {"version", version.value_or("")}, {"source", source}});
    lookup.handler(version);
}

}
