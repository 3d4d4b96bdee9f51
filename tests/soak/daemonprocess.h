#pragma once

#include <string>

#include <sys/types.h>

namespace citronspar::soak
{

/** One real daemon that the soak started; only its own process is ever signalled. */
class DaemonProcess
{
private:
    std::string m_program;
    std::string m_settingsPath;
    std::string m_logPath;
    pid_t m_pid = 0;
    bool m_isEndExpected = false;

public:
    DaemonProcess(std::string program, std::string settingsPath, std::string logPath);
    /** Kills what still runs. */
    ~DaemonProcess();

    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /** False when the program could not be started. */
    bool start();

    /** Sends a signal; SIGKILL and SIGTERM make the process's end expected. */
    void signal(int number);

    /** Collects the process if it has ended; true when it ended without having been told to. */
    bool hasFailed();

    bool isRunning() const;
};

}
