#pragma once

#include "servers/trafficconfig.h"

namespace citronspar
{

/** What is known of the tries of one request, and so what may follow and what may be said. */
class AttemptLedger
{
private:
    RepeatRule m_repeat;
    int m_maxAttempts;
    int m_tries = 0;
    int m_possibleRuns = 0;

public:
    /** The most endpoints that a request is offered to, whatever they answered. */
    static constexpr int maxTries = 4;

    AttemptLedger(RepeatRule repeat, int maxAttempts);

    /** The request goes out to an endpoint. Until another note it may have run there. */
    void noteSent();

    /** The last try did not reach the endpoint, or the endpoint says that it did not run it. */
    void noteNotRun();

    /** Whether the request may go to one more endpoint. */
    bool mayTryAgain() const;

    /** Whether "not run" would be true. */
    bool isSurelyNotRun() const;

    int tries() const;
};

}
