#pragma once

#include "drivers/ssereader.h"
#include "main/daemoncore.h"
#include "servers/blockindex.h"

#include <functional>
#include <string>

namespace citronspar
{

/** Follows one engine's event stream: whether it runs, as which incarnation, with which weights, and what it has cached. */
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
    void take(const std::string &event);
    void disconnected();

public:
    EngineWatch(DaemonCore &core, SocketAddress address);

    void start();

    /** Called when the engine's event stream breaks off. */
    void onDown(DownHandler handler);

    bool isUp() const;
    const std::string &weights() const;
    const BlockIndex &index() const;
};

}
