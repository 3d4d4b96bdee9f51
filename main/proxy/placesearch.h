#pragma once

#include "main/proxy/proxyservices.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace citronspar
{

/**
 * Finds the endpoint for each try of one request. For a model engine the
 * daemons beside the best candidates are asked first what waits there, and are
 * told what is sent.
 */
class PlaceSearch
{
public:
    /** What the request asks for. */
    struct Subject
    {
        std::string service;
        bool isEngineService = false;
        /** Empty where the request names none. */
        std::string model;
        PlacedPrompt prompt;
        /** The client account that shares no cached prefix with others; empty for all others. */
        std::string isolatedAccount;
    };
    /** Nothing when no endpoint can take the request. */
    using Handler = std::function<void(const std::optional<EndpointPlacement::Choice> &choice)>;

private:
    ProxyServices &m_services;
    Subject m_subject;
    Handler m_handler;
    std::vector<std::string> m_excluded;
    EndpointPlacement::LoadById m_loads;
    int m_rounds = 0;
    EngineProbes::QuestionId m_question = 0;
    EngineProbes::PromptId m_sentPrompt = 0;

    EndpointPlacement &placement() const;
    std::vector<EndpointPlacement::Choice> rank() const;
    void search();
    void probe(const std::vector<EndpointPlacement::Choice> &ranked);
    EngineProbes::Prefixes saltedPrefixes(std::int64_t weightsVersion) const;

public:
    PlaceSearch(ProxyServices &services, Subject subject);
    ~PlaceSearch();

    PlaceSearch(const PlaceSearch &) = delete;
    PlaceSearch &operator=(const PlaceSearch &) = delete;

    /**
     * Finds the endpoint for the next try. The handler is called at once where nothing has to be asked.
     * @param excluded ids that this request was already sent to
     */
    void start(const std::vector<std::string> &excluded, Handler handler);
    /** Ends a search without an answer. */
    void cancel();

    /** The request goes to the endpoint chosen. */
    void noteSent(const EndpointPlacement::Choice &choice, const ListedEndpoint &endpoint, bool isFetching);
    /** The engine has read the prompt, or will not. */
    void noteDone(const std::string &endpoint, bool isRead);

    /** The cache salt at an engine with these weights: cached prefixes are found only under the same one. */
    std::string cacheSalt(std::int64_t weightsVersion) const;
};

}
