#pragma once

#include "main/settings.h"

namespace citronspar
{

/** What a daemon does beyond the services that all daemons have. */
class Role
{
public:
    virtual ~Role() = default;

    /** Opens the role's sockets; false when one can't be had. */
    virtual bool open() = 0;

    /** Takes no new work from now on. */
    virtual void beginStop() = 0;

    /** Takes over what can change while the process runs. */
    virtual void applySettings(const Settings &settings) = 0;

    /** Whether all work has ended, so that the process can leave. */
    virtual bool isIdle() const = 0;
};

}
