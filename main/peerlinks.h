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

/** Who sent a message, and the link on which an answer goes back. */
struct MessageOrigin
{
    PeerNetwork::LinkId link = 0;
    std::string sender;
    std::int64_t incarnation = 0;
};

/** Typed messages between daemons, on one link for each address. */
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

    void receive(PeerNetwork::LinkId link, const std::string &frame);
    void forget(PeerNetwork::LinkId link);

public:
    explicit PeerLinks(DaemonCore &core);

    /** Listens on the address of the settings; false when the port can't be had. */
    bool open();

    /** Each message is offered to all handlers; each takes the kinds it knows. */
    void onMessage(MessageHandler handler);
    void onClosed(LinkHandler handler);

    /** The link to @p address, opened when there is none. */
    PeerNetwork::LinkId linkTo(const std::string &address);

    /** Sends on a link; false when it is gone or full. */
    bool send(PeerNetwork::LinkId link, const wire::Body &body);

    /** Sends to an address. */
    bool sendTo(const std::string &address, const wire::Body &body);
};

}
