#include "servers/transferquestion.h"

namespace citronspar
{

std::vector<std::string> TransferQuestion::templateParts() const
{
    return sharedParts.empty() ? std::vector<std::string>() : std::vector<std::string>{sharedParts.front()};
}

}
