#pragma once

#include "main/proxy/proxyservices.h"
#include "platform/requestcodec.h"
#include "servers/trafficconfig.h"

#include <memory>
#include <string>
#include <vector>

namespace citronspar
{

/** Plans the KV cache transfers of one prompt and adds them to the forwarded request. */
class PromptTransfers
{
private:
    ProxyServices &m_services;
    std::shared_ptr<const TrafficConfig> m_config;
    std::string m_service;
    PlacedPrompt m_prompt;
    std::vector<std::string> m_sharedParts;

    TransferQuery makeTransferQuery(const EndpointPlacement::Choice &choice, const std::string &cacheSalt, double bytesPerToken) const;

public:
    /**
     * @param config the configuration that applied when the request was received
     * @param service name of the service that serves the request
     */
    PromptTransfers(ProxyServices &services, std::shared_ptr<const TrafficConfig> config, std::string service,
                    const platform::CallerRequest &request, const PlacedPrompt &prompt);

    /**
     * Plans transfers for the selected engine and sets the fetch source and save target of @p forwardHeaders. Its
     * cache salt must be set.
     */
    TransferPlan apply(const EndpointPlacement::Choice &choice, platform::ForwardHeaders &forwardHeaders) const;
};

}
