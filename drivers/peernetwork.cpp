#include "drivers/peernetwork.h"

#include "drivers/log.h"

#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <utility>

namespace citronspar
{

namespace
{

const log4cxx::LoggerPtr logger = componentLogger("peer");

constexpr std::size_t writeChunkBytes = 64 * 1024;
constexpr std::size_t maxBufferedBytes = 32U * 1024 * 1024;

// Bound on what is held for all peers that have not been authenticated yet: the largest permitted first frame.
constexpr std::size_t maxUnauthenticatedBytes = FrameCodec::maxFrameBytes;

// Anyone can cause these lines, so their number is bounded.
constexpr Duration excessLogInterval = std::chrono::seconds(1);

PeerNetwork::LinkId linkIdOf(lws *socket)
{
    return reinterpret_cast<PeerNetwork::LinkId>(lws_get_opaque_user_data(socket));
}

std::string randomNonce()
{
    std::string nonce(FrameCodec::nonceBytes, '\0');
    RAND_bytes(reinterpret_cast<unsigned char *>(nonce.data()), static_cast<int>(nonce.size()));
    return nonce;
}

}

PeerNetwork::PeerNetwork(Loop &loop, std::string secret)
    : m_context(loop.context())
    , m_timers(loop.timers())
    , m_secret(std::move(secret))
{
    m_protocols[0].name = "peer";
    m_protocols[0].callback = callback;
}

bool PeerNetwork::open(const SocketAddress &address)
{
    lws_context_creation_info info{};
    info.port = address.port;
    info.iface = address.host.c_str();
    info.protocols = m_protocols;
    info.user = this;
    info.vhost_name = "peer";
    info.options
        = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND | LWS_SERVER_OPTION_DISABLE_IPV6;
    info.listen_accept_role = "raw-skt";
    info.listen_accept_protocol = "peer";
    m_vhost = lws_create_vhost(m_context, &info);
    return m_vhost != nullptr && lws_get_vhost_listen_port(m_vhost) > 0;
}

void PeerNetwork::onFrame(FrameHandler handler)
{
    m_frameHandler = std::move(handler);
}

void PeerNetwork::onClosed(LinkHandler handler)
{
    m_closedHandler = std::move(handler);
}

PeerNetwork::Link *PeerNetwork::findLink(LinkId id)
{
    const auto found = m_links.find(id);
    return found == m_links.end() ? nullptr : found->second.get();
}

PeerNetwork::LinkId PeerNetwork::addLink()
{
    const LinkId id = ++m_lastId;
    m_links[id] = std::make_unique<Link>(m_secret, randomNonce());
    Link &link = *m_links[id];
    link.output.push_back(link.codec.handshake());
    return id;
}

PeerNetwork::LinkId PeerNetwork::connect(const SocketAddress &address)
{
    const LinkId id = addLink();
    lws_client_connect_info info{};
    info.context = m_context;
    info.vhost = m_vhost;
    info.address = address.host.c_str();
    info.port = address.port;
    info.path = "";
    info.host = address.host.c_str();
    info.origin = address.host.c_str();
    info.method = "RAW";
    info.local_protocol_name = "peer";
    info.opaque_user_data = reinterpret_cast<void *>(id);
    // Without a vhost, libwebsockets would assign the socket to the protocol of another component's vhost.
    lws *socket = m_vhost == nullptr ? nullptr : lws_client_connect_via_info(&info);
    if (socket == nullptr) {
        m_timers.subscribeOnce(Duration::zero(), [this, id](TimePoint) {
            removeLink(id);
        });
    }
    return id;
}

void PeerNetwork::enqueue(Link &link, std::string bytes)
{
    link.outputBytes += bytes.size();
    link.output.push_back(std::move(bytes));
    if (link.socket != nullptr) {
        lws_callback_on_writable(link.socket);
    }
}

bool PeerNetwork::send(LinkId id, const std::string &frame)
{
    Link *link = findLink(id);
    if (link == nullptr || link->outputBytes > maxBufferedBytes) {
        return false;
    }
    if (!link->codec.isReady()) {
        link->pendingFrames.push_back(frame);
        link->outputBytes += frame.size();
        return true;
    }
    enqueue(*link, link->codec.encode(frame));
    return true;
}

void PeerNetwork::disconnect(LinkId id)
{
    const Link *link = findLink(id);
    if (link != nullptr && link->socket != nullptr) {
        lws_set_timeout(link->socket, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
}

int PeerNetwork::receive(LinkId id, const char *data, std::size_t length)
{
    Link *link = findLink(id);
    if (link == nullptr) {
        return -1;
    }
    const std::optional<std::vector<std::string>> frames = link->codec.decode(std::string(data, length));
    if (!frames.has_value()) {
        return -1;
    }
    m_unauthenticatedBytes -= link->unauthenticatedBytes;
    link->unauthenticatedBytes = link->codec.isAuthenticated() ? 0 : link->codec.bufferedBytes();
    m_unauthenticatedBytes += link->unauthenticatedBytes;
    if (closeExcess(id)) {
        return -1;
    }
    while (link->codec.isReady() && !link->pendingFrames.empty()) {
        link->outputBytes -= link->pendingFrames.front().size();
        enqueue(*link, link->codec.encode(link->pendingFrames.front()));
        link->pendingFrames.pop_front();
    }
    for (const std::string &frame : *frames) {
        m_frameHandler(id, frame);
    }
    return 0;
}

bool PeerNetwork::closeExcess(LinkId id)
{
    while (m_unauthenticatedBytes > maxUnauthenticatedBytes) {
        const auto largest = std::max_element(
            m_links.begin(), m_links.end(),
            [](const std::pair<const LinkId, std::unique_ptr<Link>> &first, const std::pair<const LinkId, std::unique_ptr<Link>> &second) {
                return first.second->unauthenticatedBytes < second.second->unauthenticatedBytes;
            });
        if (largest->first == id) {
            return true;
        }
        const TimePoint now = Loop::now();
        if (m_excessLoggedAt == timeNever || now - m_excessLoggedAt >= excessLogInterval) {
            m_excessLoggedAt = now;
            LOG4CXX_WARN(logger,
                         "closing a link whose first frame of " << largest->second->unauthenticatedBytes << " bytes is not complete");
        }
        lws *socket = largest->second->socket;
        removeLink(largest->first);
        // The socket reports its end for a link that no longer exists.
        lws_set_timeout(socket, PENDING_TIMEOUT_USER_OK, LWS_TO_KILL_ASYNC);
    }
    return false;
}

int PeerNetwork::writeOutput(LinkId id)
{
    Link *link = findLink(id);
    if (link == nullptr) {
        return -1;
    }
    if (link->output.empty()) {
        return 0;
    }
    std::string buffer(LWS_PRE, '\0');
    while (!link->output.empty() && buffer.size() < LWS_PRE + writeChunkBytes) {
        buffer += link->output.front();
        link->outputBytes -= std::min(link->outputBytes, link->output.front().size());
        link->output.pop_front();
    }
    const std::size_t count = buffer.size() - LWS_PRE;
    unsigned char *start = reinterpret_cast<unsigned char *>(buffer.data()) + LWS_PRE;
    if (lws_write(link->socket, start, count, LWS_WRITE_RAW) < static_cast<int>(count)) {
        return -1;
    }
    if (!link->output.empty()) {
        lws_callback_on_writable(link->socket);
    }
    return 0;
}

void PeerNetwork::removeLink(LinkId id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end()) {
        return;
    }
    m_unauthenticatedBytes -= found->second->unauthenticatedBytes;
    m_links.erase(found);
    if (m_closedHandler) {
        m_closedHandler(id);
    }
}

int PeerNetwork::callback(lws *socket, lws_callback_reasons reason, void *, void *in, std::size_t length)
{
    lws_vhost *vhost = socket != nullptr && !Loop::isClosing(socket) ? lws_get_vhost(socket) : nullptr;
    PeerNetwork *network = vhost != nullptr ? static_cast<PeerNetwork *>(lws_vhost_user(vhost)) : nullptr;
    if (network == nullptr) {
        return 0;
    }
    switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT: {
        const LinkId id = network->addLink();
        lws_set_opaque_user_data(socket, reinterpret_cast<void *>(id));
        network->findLink(id)->socket = socket;
        lws_callback_on_writable(socket);
        return 0;
    }
    case LWS_CALLBACK_RAW_CONNECTED: {
        Link *link = network->findLink(linkIdOf(socket));
        if (link == nullptr) {
            return -1;
        }
        link->socket = socket;
        lws_callback_on_writable(socket);
        return 0;
    }
    case LWS_CALLBACK_RAW_RX:
        return network->receive(linkIdOf(socket), static_cast<const char *>(in), length);
    case LWS_CALLBACK_RAW_WRITEABLE:
        return network->writeOutput(linkIdOf(socket));
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
    case LWS_CALLBACK_RAW_CLOSE:
        network->removeLink(linkIdOf(socket));
        return 0;
    default:
        return 0;
    }
}

}
