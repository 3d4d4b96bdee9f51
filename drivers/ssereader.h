#pragma once

#include <string>
#include <vector>

namespace citronspar
{

/** Extracts the "data: " lines from a stream of server-sent events. */
class SseReader
{
private:
    std::string m_input;

public:
    /** Adds received bytes and returns the data of each complete line; a partial line is kept for the next call. */
    std::vector<std::string> add(const std::string &bytes);
};

}
