#pragma once

#include "drivers/httplistener.h"
#include "drivers/httppool.h"
#include "tests/fakes/platformstandin.h"
#include "tests/soak/daemonprocess.h"
#include "tests/soak/faultproxy.h"
#include "tests/soak/promises.h"

#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace citronspar::soak
{

/** Real entry daemons between a stand-in of the platform and callers, with faults between them. */
class SoakWorld
{
public:
    struct Options
    {
        std::string program;
        std::string folder;
        std::uint64_t seed = 1;
        /** The first of a hundred ports that are used. */
        int firstPort = 19700;
        /** How long faults come. */
        Duration time = std::chrono::seconds(20);
    };

private:
    /** An endpoint that runs what it is sent, after a while. */
    struct Endpoint
    {
        std::unique_ptr<HttpListener> listener;
        std::unique_ptr<FaultProxy> proxy;
        std::string instance;
        int incarnation = 0;
    };

    struct Daemon
    {
        std::unique_ptr<DaemonProcess> process;
        std::unique_ptr<FaultProxy> store;
        std::string front;
        std::string name;
    };

    Options m_options;
    Loop m_loop;
    fakes::StoreStandIn m_store;
    HttpPool m_callers;
    Promises m_promises;
    std::vector<Endpoint> m_endpoints;
    std::vector<Daemon> m_daemons;
    std::mt19937_64 m_random;
    std::int64_t m_configVersion = 1;
    std::int64_t m_lastRequest = 0;
    bool m_isSecondKeyGood = true;
    bool m_isCalm = false;
    int m_servedInCalm = 0;

    std::string addressAt(int offset) const;
    int draw(int below);
    Duration drawTime(int fromMs, int toMs);

    void putConfig();
    void listEndpoint(std::size_t index, bool isReady);
    void run(std::size_t index, HttpListener::ExchangeId id, const HttpIncoming &request);
    void answer(std::size_t index, HttpListener::ExchangeId id, const std::string &request, int first);

    void sendRequest();
    void takeAnswer(const std::string &id, HttpCallEnd end, const HttpHead &head, const std::string &body);

    void addFault();
    void harmLink(FaultProxy &proxy);
    void harmDaemon(Daemon &daemon);
    void harmStore();
    void changeConfig();
    void replaceEndpoint();
    void restartEnded();
    void healAll();
    void runFor(Duration time);

    bool openDaemons();

public:
    explicit SoakWorld(Options options);

    /** Plays the seed and returns the broken promises. */
    std::vector<std::string> play();

    /** One line on what was played. */
    std::string summary() const;
};

}
