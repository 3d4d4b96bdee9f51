#pragma once

#include "core/attemptid.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace citronspar
{

/**
 * Start-time fair queueing over client accounts (Goyal, Vin and Cheng, 1996):
 * each backlogged account gets an equal share of the engine's prefill tokens,
 * and requests beyond an account's share wait behind those of the others.
 */
class FairQueue
{
public:
    struct Item
    {
        AttemptId attempt;
        std::string account;
        std::int64_t tokens = 0;
    };

private:
    struct Flow
    {
        /** Items with their virtual start times. */
        std::deque<std::pair<double, Item>> items;
        double lastFinish = 0;
    };

    std::map<std::string, Flow> m_flows;
    double m_virtualTime = 0;
    std::int64_t m_queuedTokens = 0;
    std::size_t m_size = 0;

public:
    void push(Item item);

    /** Removes the item with the lowest start time. Returns nullopt if the queue is empty. */
    std::optional<Item> pop();

    /** Removes the item of @p attempt. Returns false if it is not queued. */
    bool remove(AttemptId attempt);

    std::int64_t queuedTokens() const;

    /** The number of queued tokens that would be processed before a new item of @p account. */
    std::int64_t tokensAhead(const std::string &account) const;

    std::size_t size() const;
};

}
