#pragma once

#include "drivers/httpreader.h"
#include "drivers/tcpsocket.h"

#include <sys/socket.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace citronspar::fakes
{

/** The bytes of one response, and how the connection goes on after them. */
struct ScriptedResponse
{
    enum class End {
        KeepOpen,
        Close,
        HalfClose,
        Reset,
    };

    /** Sent one after the other, with a pause before each but the first. */
    std::vector<std::string> pieces;
    End end = End::KeepOpen;
    /** Whether the connection ends after a pause too, or together with the last bytes. */
    bool isEndDelayed = false;
};

/** Server that answers each request with the bytes of a script, which need not be HTTP. Runs on the loop of the test. */
class ScriptedEndpoint
{
public:
    using Script = std::function<ScriptedResponse(const HttpHead &request)>;

private:
    static constexpr Duration pause = std::chrono::milliseconds(2);

    struct Connection
    {
        std::unique_ptr<TcpSocket> socket;
        std::unique_ptr<HttpRequestReader> reader;
        std::string input;
        std::string body;
        int descriptor = -1;
    };

    Loop &m_loop;
    std::unique_ptr<TcpListener> m_listener;
    Script m_script;
    std::map<std::uint64_t, Connection> m_connections;
    std::uint64_t m_lastId = 0;

    void accept(int descriptor)
    {
        const std::uint64_t id = ++m_lastId;
        Connection &connection = m_connections[id];
        connection.descriptor = descriptor;
        connection.reader = makeReader(id);
        TcpSocket::Handlers handlers;
        handlers.onData = [this, id](std::string_view data) {
            receive(id, data);
        };
        handlers.onEnd = [this, id](SocketCloseReason) {
            remove(id, false);
        };
        connection.socket = std::make_unique<TcpSocket>(m_loop, std::move(handlers));
        connection.socket->adopt(descriptor);
    }

    std::unique_ptr<HttpRequestReader> makeReader(std::uint64_t id)
    {
        return std::make_unique<HttpRequestReader>(
            HttpReadLimits(), [](const HttpHead &) {},
            [this, id](std::string_view data) {
                m_connections.at(id).body.append(data);
            });
    }

    void receive(std::uint64_t id, std::string_view data)
    {
        Connection &connection = m_connections.at(id);
        connection.input.append(data);
        if (connection.reader->read(connection.input) != HttpReadState::Done) {
            return;
        }
        const HttpHead head = connection.reader->head();
        connection.reader = makeReader(id);
        received.push_back(head);
        lastBody = std::move(connection.body);
        connection.body.clear();
        send(id, m_script(head), 0);
    }

    void send(std::uint64_t id, ScriptedResponse response, std::size_t index)
    {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return;
        }
        if (index < response.pieces.size()) {
            found->second.socket->write(response.pieces[index]);
        }
        const bool isLast = index + 1 >= response.pieces.size();
        if (isLast && (!response.isEndDelayed || index >= response.pieces.size())) {
            end(id, response.end);
            return;
        }
        m_loop.timers().subscribeOnce(pause, [this, id, response, index](TimePoint) {
            send(id, response, index + 1);
        });
    }

    void end(std::uint64_t id, ScriptedResponse::End end)
    {
        Connection &connection = m_connections.at(id);
        if (connection.socket->bufferedBytes() > 0) {
            m_loop.timers().subscribeOnce(pause, [this, id, end](TimePoint) {
                if (m_connections.count(id) > 0) {
                    this->end(id, end);
                }
            });
            return;
        }
        if (end == ScriptedResponse::End::HalfClose) {
            ::shutdown(connection.descriptor, SHUT_WR);
        } else if (end != ScriptedResponse::End::KeepOpen) {
            remove(id, end == ScriptedResponse::End::Reset);
        }
    }

    void remove(std::uint64_t id, bool isReset)
    {
        const auto found = m_connections.find(id);
        if (found == m_connections.end()) {
            return;
        }
        // A handler of the socket may be running.
        const std::shared_ptr<TcpSocket> socket(std::move(found->second.socket));
        m_connections.erase(found);
        if (isReset) {
            socket->abort();
        } else {
            socket->close();
        }
        m_loop.timers().subscribeOnce(Duration::zero(), [socket](TimePoint) {});
    }

public:
    std::vector<HttpHead> received;
    /** The body of the last request. */
    std::string lastBody;

    ScriptedEndpoint(Loop &loop, const SocketAddress &address, Script script)
        : m_loop(loop)
        , m_listener(std::make_unique<TcpListener>(loop,
                                                   [this](int descriptor) {
                                                       accept(descriptor);
                                                   }))
        , m_script(std::move(script))
    {
        m_listener->open(address);
    }

    /** Refuses new connections from now on. */
    void stopListening()
    {
        m_listener.reset();
    }
};

}
