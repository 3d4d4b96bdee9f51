#pragma once

#include "core/time.h"

#include <cstdint>
#include <vector>

namespace citronspar
{

/** A weights version that the operators have set. */
struct WeightsVersion
{
    std::int64_t number = 0;
    /** When this daemon began to follow the versions. */
    TimePoint followedSince{};
    /** The earliest time at which the version can have been set; timeNever if that may be before followedSince. */
    TimePoint setAt = timeNever;
};

/**
 * The weights versions that the operators have set for one model, as far as this
 * daemon knows. Each version has a deadline of its own, from which on no request
 * may begin on older ones, so a version does not replace those before it.
 */
class WeightsHistory
{
private:
    /** In ascending order of their versions. */
    std::vector<WeightsVersion> m_versions;

public:
    /** Records a version; ignored if it is not newer than the wanted one. Returns whether it was recorded. */
    bool record(const WeightsVersion &weights);

    /** The newest version; 0 if none is set. */
    std::int64_t wantedVersion() const;

    /** The first version after @p version, which outdates it; nullptr if there is none. */
    const WeightsVersion *successorOf(std::int64_t version) const;
};

}
