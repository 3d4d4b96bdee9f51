#pragma once

#include "core/metrics.h"
#include "platform/storeclient.h"

namespace citronspar
{

/** Counts in "store eras" how often @p store has come back from an older copy. @p metrics must live as long as it. */
void countStoreEras(platform::StoreClient &store, Metrics &metrics);

}
