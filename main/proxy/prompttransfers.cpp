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

TransferQuestion PromptTransfers::makeTransferQuestion(const EndpointPlacement::Choice &choice, const std::string &cacheSalt,
                                                       double bytesPerToken) const
{
    TransferQuestion question;
    question.engine = choice.id;
    question.isHome = choice.isHome;
    question.keeper = choice.likelyKeeper;
    question.templateKeeper = choice.templateKeeper;
    question.knownPrefixes = choice.knownPrefixes;
    question.keeperPrefixes = choice.keeperPrefixes;
    question.salt = cacheSalt;
    question.prefixHash = m_prompt.sharedHash;
    question.templateHash = m_prompt.templateHash;
    question.sharedParts = m_sharedParts;
    question.templateTokens = m_prompt.templateTokens;
    question.sharedTokens = m_prompt.sharedTokens;
    question.ownTokens = m_prompt.ownTokens;
    question.bytesPerToken = bytesPerToken;
    return question;
}

void PromptTransfers::apply(const EndpointPlacement::Choice &choice, platform::ForwardTraits &traits) const
{
    const auto service = m_config->services.find(m_service);
    if (service == m_config->services.end()) {
        return;
    }
    const TrafficService *store = m_config->kvStore();
    m_services.transferPlanner.setLink(store == nullptr ? 0 : store->kvLinkBytesPerSecond, m_services.quotaGate.daemons());
    const EndpointDirectory &directory = m_services.endpointFeed.directory();
    const EngineResidents::EngineFilter isUsable = [&](const std::string &engine) {
        return directory.find(engine) != nullptr && m_services.enginePlacement.isUsable(engine, Loop::now());
    };
    const TransferQuestion question = makeTransferQuestion(choice, traits.cacheSalt, service->second.bytesPerToken);
    const TransferPlan plan = m_services.transferPlanner.plan(question, isUsable, Loop::now());
    const ListedEndpoint *source = directory.find(plan.fetchFromEngine);
    if (plan.fetchesFromStore && store != nullptr) {
        traits.fetchFrom = store->kvStoreAddress;
    } else if (source != nullptr) {
        traits.fetchFrom = source->address;
    }
    if (plan.savesToStore && store != nullptr) {
        traits.saveTo = store->kvStoreAddress;
    }
}

}
