#pragma once

#include "drivers/httppool.h"
#include "main/proxy/streamversions.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace citronspar
{

/**
 * Holds the response of an attempt back until it is recorded at which software
 * version its stream began, so that a caller never has an event of a stream whose
 * version is forgotten when all entry daemons restart.
 */
class StreamHold
{
public:
    using End = std::pair<HttpCallResult, HttpBreakCause>;
    /** Called when the response may go on, or, with false, must not. */
    using ReleaseHandler = std::function<void(bool isAllowed)>;

private:
    StreamVersions &m_versions;
    StreamVersions::RecordId m_record = 0;
    bool m_isHolding = false;
    bool m_hasRecorded = false;
    std::string m_data;
    std::optional<End> m_end;

public:
    explicit StreamHold(StreamVersions &versions);
    ~StreamHold();

    StreamHold(const StreamHold &) = delete;
    StreamHold &operator=(const StreamHold &) = delete;

    /** Records an attempt at an endpoint with @p version if necessary. The handler is only called if the response is held then. */
    void begin(const StreamVersions::Stream &stream, const std::string &version, ReleaseHandler onRelease);

    /** Discards what is held of an attempt that has ended otherwise. */
    void cancel();

    bool isHolding() const;
    void holdData(std::string_view data);
    void holdEnd(HttpCallResult result, HttpBreakCause cause);
    std::string takeData();
    std::size_t heldBytes() const;
    std::optional<End> takeEnd();
};

}
