#include "main/proxy/prompttransfers.h"

#include <utility>

namespace citronspar
{

PromptTransfers::PromptTransfers(ProxyServices &services, std::shared_ptr<const TrafficConfig> config, std::string service,
                                 const platform::CallerRequest &request, const PlacedPrompt &prompt)
    : m_services(services)
    , m_config(std::move(config))
    , m_service(std::move(service))
    , m_prompt(prompt)
{
    // The last part is unique to the request.
    for (std::size_t i = 0; i + 1 < request.parts.size(); ++i) {
        m_sharedParts.push_back(request.parts[i].id);
    }
}

TransferQuery PromptTransfers::makeTransferQuery(const EndpointPlacement::Choice &choice, const std::string &cacheSalt,
                                                 double bytesPerToken) const
{
    TransferQuery query;
    query.engine = choice.id;
    query.isHome = choice.isHome;
    query.source = choice.likelySource;
    query.templateSource = choice.templateSource;
    query.knownPrefixes = choice.knownPrefixes;
    query.sourcePrefixes = choice.sourcePrefixes;
    query.record = choice.record;
    query.isRecordKnown = choice.isRecordKnown;
    query.salt = cacheSalt;
    query.prefixHash = m_prompt.sharedHash;
    query.templateHash = m_prompt.templateHash;
    query.sharedParts = m_sharedParts;
    query.templateTokens = m_prompt.templateTokens;
    query.sharedTokens = m_prompt.sharedTokens;
    query.ownTokens = m_prompt.ownTokens;
    query.bytesPerToken = bytesPerToken;
    return query;
}

TransferPlan PromptTransfers::apply(const EndpointPlacement::Choice &choice, platform::ForwardHeaders &forwardHeaders) const
{
    const auto service = m_config->services.find(m_service);
    if (service == m_config->services.end()) {
        return TransferPlan();
    }
    const EndpointDirectory &directory = m_services.endpointFeed.directory();
    const ResidentPrefixes::EngineFilter isUsable = [&](const std::string &engine) {
        return directory.find(engine) != nullptr && m_services.enginePlacement.isUsable(engine, Loop::now());
    };
    const TransferQuery query = makeTransferQuery(choice, forwardHeaders.cacheSalt, service->second.bytesPerToken);
    TransferPlan plan = m_services.transferPlanner.plan(query, isUsable, Loop::now());
    const ListedEndpoint *source = directory.find(plan.fetchFromEngine);
    forwardHeaders.fetchFrom = source != nullptr ? source->address : plan.fetchFromStore;
    forwardHeaders.saveTo = plan.saveToStore;
    return plan;
}

}
