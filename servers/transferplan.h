#pragma once

#include <string>

namespace citronspar
{

/** The KV cache transfers of a request. */
struct TransferPlan
{
    /** The engine to fetch from; empty if the request does not fetch from an engine. */
    std::string fetchFromEngine;
    bool fetchesFromStore = false;
    bool savesToStore = false;
};

}
