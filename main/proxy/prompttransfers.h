#pragma once

#include "main/proxy/proxyservices.h"
#include "platform/requestcodec.h"
#include "servers/trafficconfig.h"

#include <memory>
#include <string>
#include <vector>

namespace citronspar
{

/** Puts the transfers planned for one prompt into the requests that carry it. */
class PromptTransfers
{
private:
    ProxyServices &m_services;
    std::shared_ptr<const TrafficConfig> m_config;
    std::string m_service;
    PlacedPrompt m_prompt;
    std::vector<std::string> m_sharedParts;

    TransferQuestion questionFor(const EndpointPlacement::Choice &choice, const std::string &cacheSalt, double bytesPerToken) const;

public:
    /**
     * @param config in force when the request came
     * @param service that serves the request
     */
    PromptTransfers(ProxyServices &services, std::shared_ptr<const TrafficConfig> config, std::string service,
                    const platform::CallerRequest &request, const PlacedPrompt &prompt);

    /** Plans for the engine chosen and sets where @p traits fetch from and save to; their cache salt has to be set. */
    void apply(const EndpointPlacement::Choice &choice, platform::ForwardTraits &traits) const;
};

}
