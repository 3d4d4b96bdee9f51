#pragma once

#include "core/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace citronspar::soak
{

/** What the soak's callers were promised, judged by what callers and endpoints saw. */
class Promises
{
public:
    /** What a caller asks for; the last two may run more than once. */
    enum class Kind {
        Once,
        PlainStream,
        Idempotent,
        ResumableStream,
    };

private:
    struct Request
    {
        Kind kind = Kind::Once;
        std::string account;
        TimePoint sentAt{};
        int runs = 0;
        int status = 0;
        bool isAnswered = false;
    };

    std::map<std::string, Request> m_requests;
    std::map<std::string, TimePoint> m_withdrawnAt;
    std::vector<std::string> m_broken;
    int m_served = 0;

    void breakPromise(const std::string &what, const std::string &id);
    static bool mayRepeat(Kind kind);

public:
    /** Each answer's body is made of the request's id, so that mixed ones are seen. */
    static std::string event(const std::string &id, int number);
    static std::string wholeBody(const std::string &id);
    static constexpr int events = 4;

    void noteSent(const std::string &id, Kind kind, const std::string &account, TimePoint now);
    void noteRun(const std::string &id, const std::string &account);
    void noteAnswer(const std::string &id, int status, bool isSigned, bool isComplete, const std::string &body);
    void noteExit(const std::string &daemon);

    /** The configuration that withdraws an account's key was acknowledged. */
    void noteWithdrawn(const std::string &account, TimePoint now);

    /** Judges what can only be judged when all has ended. */
    void judgeEnd();

    const std::vector<std::string> &broken() const;
    int served() const;
    std::size_t sent() const;
};

}
