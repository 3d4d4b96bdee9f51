#include "main/feeds/endpointfeed.h"

#include "platform/endpointdecoder.h"
#include "platform/names.h"

#include <set>
#include <utility>

namespace citronspar
{

namespace
{

constexpr Duration removalCheckPeriod = std::chrono::milliseconds(200);

}

EndpointFeed::EndpointFeed(Loop &loop, platform::StoreClient &store, DecisionLog &log, StoreFeed::PollSettings pollSettings,
                           Duration returnGrace)
    : m_log(log)
    , m_directory(returnGrace)
    , m_feed(loop, store, log, platform::names::endpointTable, pollSettings,
             StoreFeed::Handlers{[this](const std::vector<platform::StoreRow> &rows, bool isOfNewEra) {
                                     applySnapshot(rows, isOfNewEra);
                                 },
                                 [this](const std::vector<platform::StoreRow> &rows) {
                                     applyChanges(rows);
                                 },
                                 [](TimePoint) {},
                                 [this](TimePoint now) {
                                     m_directory.recordOutage(now);
                                 },
                                 [this](TimePoint now) {
                                     m_directory.recordOutage(now);
                                 }})
{
    loop.timers().subscribe(removalCheckPeriod, [this](TimePoint now) {
        if (m_directory.applyDueRemovals(now)) {
            notifyChange();
        }
    });
}

void EndpointFeed::onChange(ChangeHandler handler)
{
    m_changeHandlers.push_back(std::move(handler));
}

void EndpointFeed::onRead(ChangeHandler handler)
{
    m_readHandler = std::move(handler);
}

void EndpointFeed::start()
{
    m_feed.start();
}

void EndpointFeed::logMalformed(const platform::StoreRow &row)
{
    m_log.write("endpoints", "malformed entry", {{"id", row.key}, {"row", std::to_string(row.version)}});
}

void EndpointFeed::notifyChange()
{
    for (const ChangeHandler &handler : m_changeHandlers) {
        handler();
    }
}

void EndpointFeed::applySnapshot(const std::vector<platform::StoreRow> &rows, bool isOfNewEra)
{
    std::vector<ListedEndpoint> endpoints;
    for (const platform::StoreRow &row : rows) {
        std::optional<ListedEndpoint> endpoint = platform::decodeListedEndpoint(row.key, row.value);
        if (endpoint.has_value()) {
            endpoints.push_back(std::move(*endpoint));
        } else {
            logMalformed(row);
        }
    }
    m_log.write("endpoints", "endpoint list read", {{"endpoints", std::to_string(endpoints.size())}});
    m_directory.replaceAll(std::move(endpoints), Loop::now(), isOfNewEra);
    m_hasSnapshot = true;
    notifyChange();
    if (m_readHandler) {
        m_readHandler();
    }
}

void EndpointFeed::applyChanges(const std::vector<platform::StoreRow> &rows)
{
    for (const platform::StoreRow &row : rows) {
        if (row.isDeleted) {
            m_log.write("endpoints", "entry removed", {{"id", row.key}});
            m_directory.remove(row.key, Loop::now());
            continue;
        }
        std::optional<ListedEndpoint> endpoint = platform::decodeListedEndpoint(row.key, row.value);
        if (!endpoint.has_value()) {
            logMalformed(row);
            m_directory.remove(row.key, Loop::now());
            continue;
        }
        m_log.write("endpoints", "entry changed",
                    {{"id", row.key},
                     {"service", endpoint->service},
                     {"address", endpoint->address},
                     {"state", endpoint->isDraining ? "draining" : "ready"},
                     {"software", endpoint->softwareVersion},
                     {"weights", std::to_string(endpoint->weightsVersion)}});
        m_directory.put(std::move(*endpoint));
    }
    notifyChange();
}

void EndpointFeed::readOnce()
{
    m_feed.readOnce();
}

void EndpointFeed::applyConfig(const TrafficConfig &config)
{
    std::set<std::string> services;
    for (const std::pair<const std::string, TrafficService> &service : config.services) {
        if (service.second.kvStoreAddress.empty()) {
            services.insert(service.first);
        }
    }
    m_directory.setServices(services);
    if (m_hasSnapshot) {
        notifyChange();
    }
}

void EndpointFeed::recordOccupant(const std::string &address, const std::string &id)
{
    if (m_directory.recordOccupant(address, id)) {
        m_log.write("endpoints", "endpoint in force by its own statement", {{"id", id}, {"address", address}});
    }
}

const EndpointDirectory &EndpointFeed::directory() const
{
    return m_directory;
}

bool EndpointFeed::hasSnapshot() const
{
    return m_hasSnapshot;
}

}
