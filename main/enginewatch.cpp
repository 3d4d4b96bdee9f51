#include "main/enginewatch.h"

#include "drivers/log.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace citronspar
{

namespace
{

using nlohmann::json;

const log4cxx::LoggerPtr logger = componentLogger("engine");

constexpr Duration reconnectDelay = std::chrono::milliseconds(100);

}

EngineWatch::EngineWatch(DaemonCore &core, SocketAddress address)
    : m_core(core)
    , m_address(std::move(address))
{
}

void EngineWatch::start()
{
    connect();
}

void EngineWatch::onDown(DownHandler handler)
{
    m_downHandler = std::move(handler);
}

void EngineWatch::connect()
{
    m_reader = SseReader();
    HttpClientRequest request;
    request.target = m_address;
    request.method = "GET";
    request.path = "/events";
    HttpClient::Handlers handlers;
    handlers.onData = [this](const std::string &data) {
        for (const std::string &event : m_reader.add(data)) {
            handleEvent(event);
        }
    };
    handlers.onEnd = [this](HttpClientResult) {
        handleDisconnect();
    };
    m_core.http().send(std::move(request), std::move(handlers));
}

void EngineWatch::handleDisconnect()
{
    if (m_isUp) {
        m_isUp = false;
        m_index.reset(0, 0);
        LOG4CXX_WARN(logger, "engine event stream lost; reconnecting");
        m_core.record("engine", "down");
        if (m_downHandler) {
            m_downHandler();
        }
    }
    m_core.timers().subscribeOnce(reconnectDelay, [this](TimePoint) {
        connect();
    });
}

void EngineWatch::handleEvent(const std::string &event)
{
    const json document = json::parse(event, nullptr, false);
    if (!document.is_object() || !document.contains("type")) {
        LOG4CXX_WARN(logger, "ignoring malformed engine event");
        return;
    }
    const std::string type = document.value("type", std::string());
    const std::int64_t incarnation = document.value("incarnation", std::int64_t(0));
    const std::int64_t sequence = document.value("sequence", std::int64_t(0));
    const std::vector<std::uint64_t> blocks = document.value("blocks", std::vector<std::uint64_t>());
    if (type == "hello") {
        m_index.reset(incarnation, sequence);
        m_weights = document.value("weights", std::string());
        m_isUp = true;
        LOG4CXX_INFO(logger, "engine is up with weights " << m_weights);
        m_core.record("engine", "up as incarnation " + std::to_string(incarnation));
    } else if (type == "stored") {
        m_index.addBlocks(incarnation, sequence, blocks);
    } else if (type == "removed") {
        m_index.removeBlocks(incarnation, sequence, blocks);
    }
}

bool EngineWatch::isUp() const
{
    return m_isUp;
}

const std::string &EngineWatch::weights() const
{
    return m_weights;
}

const BlockIndex &EngineWatch::index() const
{
    return m_index;
}

}
