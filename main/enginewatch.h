#pragma once

#include "drivers/ssereader.h"
#include "main/daemoncore.h"
#include "servers/blockindex.h"

#include <functional>
#include <string>

namespace citronspar
{

/** Subscribes to an engine's event stream and tracks its availability, incarnation, weights and cached blocks. */
class EngineWatch
{
public:
    using DownHandler = std::function<void()>;

private:
    DaemonCore &m_core;
    SocketAddress m_address;
    SseReader m_reader;
    BlockIndex m_index;
    std::string m_weights;
    bool m_isUp = false;
    DownHandler m_downHandler;

    void connect();
    void handleEvent(const std::string &event);
    void handleDisconnect();

public:
    EngineWatch(DaemonCore &core, SocketAddress address);

    void start();

    /** Sets the handler that is called when the event stream is lost. */
    void onDown(DownHandler handler);

    bool isUp() const;
    const std::string &weights() const;
    const BlockIndex &index() const;
};

}
