#pragma once

#include "drivers/messagecodec.h"
#include "drivers/peernetwork.h"
#include "main/daemoncore.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace citronspar
{

/** Sender of a message and the link for replies. */
struct MessageOrigin
{
    PeerNetwork::LinkId link = 0;
    std::string sender;
    std::int64_t incarnation = 0;
};

/** Exchanges typed messages with other daemons over one link per address. */
class PeerLinks
{
public:
    using MessageHandler = std::function<void(const MessageOrigin &origin, const wire::Body &body)>;
    using LinkHandler = std::function<void(PeerNetwork::LinkId link)>;

private:
    DaemonCore &m_core;
    PeerNetwork m_network;
    std::map<std::string, PeerNetwork::LinkId> m_linkByAddress;
    std::vector<MessageHandler> m_messageHandlers;
    std::vector<LinkHandler> m_closedHandlers;

    void handleFrame(PeerNetwork::LinkId link, const std::string &frame);
    void handleClosed(PeerNetwork::LinkId link);

public:
    explicit PeerLinks(DaemonCore &core);

    /** Starts listening on Settings::peerListen. Returns false if the port can't be bound. */
    bool open();

    /** Adds a message handler. Every handler gets every message and ignores the types it doesn't process. */
    void onMessage(MessageHandler handler);
    void onClosed(LinkHandler handler);

    /** Returns the link to @p address and connects if there is none yet. */
    PeerNetwork::LinkId linkTo(const std::string &address);

    /** Sends a message on @p link. Returns false if the link is closed or its send buffer is full. */
    bool send(PeerNetwork::LinkId link, const wire::Body &body);

    /** Sends a message on the link to @p address; see linkTo() and send(). */
    bool sendTo(const std::string &address, const wire::Body &body);
};

}
