#pragma once

#include "main/settings.h"

namespace citronspar
{

/** Interface for the part of a daemon that depends on its configured role. */
class Role
{
public:
    virtual ~Role() = default;

    /** Opens the role's sockets. Returns false if one can't be opened. */
    virtual bool open() = 0;

    /** Starts a graceful shutdown: work in progress continues, new work is refused at once or after a grace period. */
    virtual void beginStop() = 0;

    /** Applies the settings that can change without a restart. */
    virtual void applySettings(const Settings &settings) = 0;

    /** Returns whether all work has ended, so that the process can exit. */
    virtual bool isIdle() const = 0;
};

}
