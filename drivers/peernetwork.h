#pragma once

#include "drivers/framecodec.h"
#include "drivers/loop.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace citronspar
{

/**
 * Sends and receives frames between the daemons of the fleet over TCP. Each
 * frame is authenticated with the fleet secret; a link is closed when a
 * received frame fails authentication.
 */
class PeerNetwork
{
public:
    using LinkId = std::uint64_t;
    using FrameHandler = std::function<void(LinkId link, const std::string &frame)>;
    using LinkHandler = std::function<void(LinkId link)>;

private:
    struct Link
    {
        lws *socket = nullptr;
        FrameCodec codec;
        std::deque<std::string> output;
        /** Approximate size of output and pendingFrames, which send() limits. */
        std::size_t outputBytes = 0;
        /** Bytes of a first frame that is not complete; the part of the link in m_unauthenticatedBytes. */
        std::size_t unauthenticatedBytes = 0;
        /** Frames to encode once the peer's nonce has been received. */
        std::deque<std::string> pendingFrames;

        Link(const std::string &secret, std::string nonce)
            : codec(secret, std::move(nonce))
        {
        }
    };

    lws_context *m_context = nullptr;
    TimerService &m_timers;
    lws_vhost *m_vhost = nullptr;
    lws_protocols m_protocols[2]{};
    std::string m_secret;
    std::map<LinkId, std::unique_ptr<Link>> m_links;
    /** Bytes held for peers that have not shown yet that they know the secret. */
    std::size_t m_unauthenticatedBytes = 0;
    /** When a link was last logged as closed for what it held. */
    TimePoint m_excessLoggedAt = timeNever;
    LinkId m_lastId = 0;
    FrameHandler m_frameHandler;
    LinkHandler m_closedHandler;

    static int callback(lws *socket, lws_callback_reasons reason, void *user, void *in, std::size_t length);

    Link *findLink(LinkId id);
    LinkId addLink();
    void enqueue(Link &link, std::string bytes);
    int receive(LinkId id, const char *data, std::size_t length);
    /** Closes links whose first frames hold most, until the rest is within the bound. Returns whether @p id was closed. */
    bool closeExcess(LinkId id);
    int writeOutput(LinkId id);
    void removeLink(LinkId id);

public:
    PeerNetwork(Loop &loop, std::string secret);

    /** Listens on @p address; returns false if the port can't be bound. */
    bool open(const SocketAddress &address);

    void onFrame(FrameHandler handler);
    void onClosed(LinkHandler handler);

    /** Opens a link. Frames can be sent at once; they are buffered until the link is established. */
    LinkId connect(const SocketAddress &address);

    /** Queues a frame for sending; returns false if the link is closed or its buffer is full. */
    bool send(LinkId id, const std::string &frame);

    void disconnect(LinkId id);
};

}
