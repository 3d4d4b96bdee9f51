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
 * Frames between the daemons of the fleet, over TCP. Both sides prove that
 * they know the fleet's secret in each frame; a link on which a frame fails
 * the check is closed.
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
        std::size_t outputBytes = 0;
        std::deque<std::string> waiting;

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
    LinkId m_lastId = 0;
    FrameHandler m_frameHandler;
    LinkHandler m_closedHandler;

    static int callback(lws *socket, lws_callback_reasons reason, void *user, void *in, std::size_t length);

    Link *find(LinkId id);
    LinkId addLink();
    void queue(Link &link, std::string bytes);
    int receive(LinkId id, const char *data, std::size_t length);
    int writeSome(LinkId id);
    void drop(LinkId id);

public:
    PeerNetwork(Loop &loop, std::string secret);

    /** Listens on @p address; false when the port can't be had. */
    bool open(const SocketAddress &address);

    void onFrame(FrameHandler handler);
    void onClosed(LinkHandler handler);

    /** Opens a link; frames can be sent at once and leave when it is up. */
    LinkId connect(const SocketAddress &address);

    /** Sends a frame; false when the link is gone or its buffer is full. */
    bool send(LinkId id, const std::string &frame);

    void disconnect(LinkId id);
};

}
