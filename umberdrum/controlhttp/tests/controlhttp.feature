Feature: Server for announcements, readiness and the admin address

  # Clients that read no response kept their connections for ever, until none was left.
  Scenario: Clients that stop reading don't keep others out
    Given a control server for 3 connections that sends long responses
    When a client that reads nothing sends a request every 5 s, 8 times
    Then another client gets its whole response within 5 s
