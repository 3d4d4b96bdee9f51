#include "main/proxy/streamhold.h"

namespace citronspar
{

StreamHold::StreamHold(StreamVersions &versions)
    : m_versions(versions)
{
}

StreamHold::~StreamHold()
{
    cancel();
}

void StreamHold::begin(const StreamVersions::Stream &stream, const std::string &version, ReleaseHandler onRelease)
{
    cancel();
    const SoftwareVersions::RecordNeed need = m_versions.recordNeed(stream.service, version);
    // An earlier attempt of the request may have recorded another version.
    if (need == SoftwareVersions::RecordNeed::None && !m_hasRecorded) {
        return;
    }
    const bool isRequired = need == SoftwareVersions::RecordNeed::Required || m_hasRecorded;
    m_isHolding = true;
    m_record = m_versions.record(stream, version, m_hasRecorded, [this, isRequired, onRelease = std::move(onRelease)](bool isRecorded) {
        m_record = 0;
        m_isHolding = false;
        onRelease(isRecorded || !isRequired);
    });
    m_hasRecorded = true;
}

void StreamHold::cancel()
{
    m_versions.cancelRecord(m_record);
    m_record = 0;
    m_isHolding = false;
    m_data.clear();
    m_end.reset();
}

bool StreamHold::isHolding() const
{
    return m_isHolding;
}

void StreamHold::holdData(std::string_view data)
{
    m_data.append(data);
}

void StreamHold::holdEnd(HttpCallResult result, HttpBreakCause cause)
{
    m_end = End{result, cause};
}

std::string StreamHold::takeData()
{
    return std::exchange(m_data, {});
}

std::size_t StreamHold::heldBytes() const
{
    return m_data.size();
}

std::optional<StreamHold::End> StreamHold::takeEnd()
{
    return std::exchange(m_end, std::nullopt);
}

}
