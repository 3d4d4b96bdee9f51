#pragma once

#include <string>

namespace citronspar
{

/** Where a request's KV cache comes from and goes to. */
struct TransferPlan
{
    /** The engine to fetch from; empty for none. */
    std::string fetchFromEngine;
    bool fetchesFromStore = false;
    bool savesToStore = false;
};

}
