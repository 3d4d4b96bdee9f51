#pragma once

#include "main/endpointjob.h"
#include "servers/startgate.h"

#include <memory>
#include <optional>

namespace citronspar
{

/** Sends one request to a service other than a model engine. With a claim, it is sent at most once over all attempts. */
class ServiceJob : public EndpointJob, public std::enable_shared_from_this<ServiceJob>
{
private:
    SocketAddress m_service;
    std::unique_ptr<StartGate> m_gate;
    int m_status = 0;
    std::string m_contentType;
    std::string m_responseBody;

    void execute(const StartGate::Action &action);
    void writeRow(const StartGate::WriteRow &write);
    void readRow(const StartGate::ReadRow &read);
    void sendToService();
    void handleServiceData(const std::string &data);
    void handleServiceEnd(HttpClientResult result);
    void finishIfGateFinished();

public:
    ServiceJob(DaemonCore &core, PeerLinks &links, PeerNetwork::LinkId link, const wire::Dispatch &dispatch, SocketAddress service);

    void start() override;
    void cancel() override;
};

}
