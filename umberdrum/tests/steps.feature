Feature: Steps of all features

  Scenario: The steps are loaded
    Then the steps of all features are loaded
