#include "main/feeds/eracounter.h"

#include <algorithm>
#include <optional>

namespace citronspar
{

void countStoreEras(platform::StoreClient &store, Metrics &metrics)
{
    store.onEra([&metrics, newest = std::optional<std::int64_t>()](std::int64_t era) mutable {
        if (newest.has_value() && era > *newest) {
            metrics.increment("store eras");
        }
        newest = newest.has_value() ? std::max(*newest, era) : era;
    });
}

}
