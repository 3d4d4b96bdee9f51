#include "main/peerlinks.h"

#include "drivers/log.h"

#include <utility>

namespace citronspar
{

namespace
{

const log4cxx::LoggerPtr logger = componentLogger("peer");

}

PeerLinks::PeerLinks(DaemonCore &core)
    : m_core(core)
    , m_network(core.loop(), core.settings().fleetSecret)
{
    m_network.onFrame([this](PeerNetwork::LinkId link, const std::string &frame) {
        handleFrame(link, frame);
    });
    m_network.onClosed([this](PeerNetwork::LinkId link) {
        handleClosed(link);
    });
}

bool PeerLinks::open()
{
    return m_network.open(parseSocketAddress(m_core.settings().peerListen));
}

void PeerLinks::onMessage(MessageHandler handler)
{
    m_messageHandlers.push_back(std::move(handler));
}

void PeerLinks::onClosed(LinkHandler handler)
{
    m_closedHandlers.push_back(std::move(handler));
}

PeerNetwork::LinkId PeerLinks::linkTo(const std::string &address)
{
    const auto found = m_linkByAddress.find(address);
    if (found != m_linkByAddress.end()) {
        return found->second;
    }
    const PeerNetwork::LinkId link = m_network.connect(parseSocketAddress(address));
    m_linkByAddress[address] = link;
    return link;
}

bool PeerLinks::send(PeerNetwork::LinkId link, const wire::Body &body)
{
    const HybridTime time = m_core.clock().tick(Loop::wallNow());
    wire::Envelope envelope;
    envelope.__set_sender(m_core.settings().daemon);
    envelope.__set_incarnation(m_core.incarnation());
    envelope.__set_wallMicroseconds(time.wall.count());
    envelope.__set_wallCounter(time.counter);
    envelope.__set_body(body);
    return m_network.send(link, encodeEnvelope(envelope));
}

bool PeerLinks::sendTo(const std::string &address, const wire::Body &body)
{
    return send(linkTo(address), body);
}

void PeerLinks::handleFrame(PeerNetwork::LinkId link, const std::string &frame)
{
    const std::optional<wire::Envelope> envelope = decodeEnvelope(frame);
    if (!envelope.has_value()) {
        LOG4CXX_WARN(logger, "received a malformed message from a peer, closing the link");
        m_network.disconnect(link);
        return;
    }
    m_core.clock().observe(HybridTime{std::chrono::microseconds(envelope->wallMicroseconds), envelope->wallCounter});
    const MessageOrigin origin{link, envelope->sender, envelope->incarnation};
    for (const MessageHandler &handler : m_messageHandlers) {
        handler(origin, envelope->body);
    }
}

void PeerLinks::handleClosed(PeerNetwork::LinkId link)
{
    for (auto it = m_linkByAddress.begin(); it != m_linkByAddress.end(); ++it) {
        if (it->second == link) {
            m_linkByAddress.erase(it);
            break;
        }
    }
    for (const LinkHandler &handler : m_closedHandlers) {
        handler(link);
    }
}

}
