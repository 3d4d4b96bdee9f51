#pragma once

#include <string>
#include <vector>

namespace citronspar
{

/** Cuts a stream of server-sent events into the data of each event. */
class SseReader
{
private:
    std::string m_input;

public:
    /** Takes in bytes and returns the data of the events that are whole. */
    std::vector<std::string> add(const std::string &bytes);
};

}
